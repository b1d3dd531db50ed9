// Package queue orders the tasks that wait at one host for one service.
//
// Teams share by weight. Within a team a job is ranked as if it had arrived
// later by a fixed time for each of its tasks: small jobs pass large ones,
// and no job waits forever, because later arrivals rank behind it in time.
package queue
