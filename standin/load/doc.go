// Package load sends open-loop jobs to hosts and measures response time
// against the ideal and messages that carried no useful work.
package load
