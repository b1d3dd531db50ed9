// Package kernel assembles a process from plug-ins that register themselves.
//
// A plug-in is a package whose init function calls Register with its name, its
// settings section and its fx module. The kernel does not depend on any plug-in.
package kernel
