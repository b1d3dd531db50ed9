// Package quota divides a team's quota among the hosts.
//
// Starting a job needs no coordination between hosts: every host computes all
// shares from the demand that the hosts last reported, and enforces its own
// share. A fixed fraction of the quota is divided evenly, so that a host
// without reported demand, or one that was partitioned from the others, can
// still start tasks.
package quota
