// Package quota divides a team's quota over the hosts.
//
// Nobody is asked on the way of a job: every host computes all shares from
// what the hosts last reported, and keeps to its own. A part of the quota is
// divided evenly, so that a host without demand, or one that was cut off, can
// still start something.
package quota
