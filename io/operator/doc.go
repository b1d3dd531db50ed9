// Package operator is the plug-in that serves the operators' HTTP API: metrics, the
// status of all hosts, and the configuration document.
package operator
