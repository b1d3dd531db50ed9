// Package scheduler is the plug-in that executes scheduling decisions: it carries out
// the commands of core/schedule and core/pool, with one shard per service, and runs
// tasks on other hosts' backend servers when they have free capacity.
package scheduler
