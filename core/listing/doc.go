// Package listing holds what the platform lists: backend servers, as they
// describe themselves, and the hosts of this system.
package listing
