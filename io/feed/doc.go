// Package feed is the plug-in that reads configuration changes from the
// platform's table: one host of each failure domain asks, the others learn
// from heartbeats.
//
// The table is read as a feed with a revision to go on from and, if the
// setting says so, with long polling: see the paper "HTTP Feeds", sections
// "Polling" and "Long Polling". docs/EXPERIMENTS.md has the measurement that
// the default rests on.
package feed
