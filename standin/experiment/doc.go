// Package experiment runs host processes against stand-ins for the platform and
// the backend servers, once for each variant of the host settings, and tabulates
// response times, messages and resource usage.
package experiment
