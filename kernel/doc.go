// Package kernel assembles a process from plug-ins that register themselves.
//
// A plug-in is a package whose init calls Register with its name, its
// settings section and its fx module. The kernel knows no plug-in by name.
package kernel
