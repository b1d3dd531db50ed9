// Package platform is a stand-in for the platform: a table with conditional
// writes, an object store and a host list, with faults to switch on.
package platform
