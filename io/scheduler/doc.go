// Package scheduler is the plug-in that runs the decisions about jobs and
// backend servers: it carries out the commands of core/schedule and core/pool,
// a shard for each service, and lends room between hosts.
package scheduler
