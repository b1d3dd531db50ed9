// Package experiment runs real host processes against stand-ins, once for
// each variant of their settings, and tabulates what callers saw.
package experiment
