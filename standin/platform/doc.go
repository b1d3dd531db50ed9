// Package platform is an in-memory stand-in for the platform's HTTP services: a
// table with conditional writes, an object store and a host list. Faults can be
// injected at run time.
package platform
