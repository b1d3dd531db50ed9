// Package member is the plug-in that sends and takes heartbeats, and with
// them the news that rides along: newer host lists and successors.
package member
