// Package timeline joins the log lines of any number of hosts: it finds tasks with runs
// that may have overlapped, and puts the lines about a job in order of time.
package timeline
