// Package listing defines the entries of the platform's directory: backend servers and
// the hosts of this system, each as they register themselves.
package listing
