// Package feed is the plug-in that reads configuration changes from the
// platform's table. One host of each failure domain polls the table; the others
// receive the changes through heartbeats.
//
// Each request reads the changes after the last known revision and, depending on
// the wait setting, uses long polling: see the paper "HTTP Feeds", sections
// "Polling" and "Long Polling". docs/EXPERIMENTS.md describes the measurement
// behind the default.
package feed
