// Package operator is the plug-in for operators: metrics, the fleet, and the
// configuration document over HTTP.
package operator
