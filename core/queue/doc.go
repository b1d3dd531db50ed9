// Package queue orders the tasks of one service that wait at one host.
//
// Teams share capacity in proportion to their weights (stride scheduling).
// Within a team, jobs are ordered by arrival time plus a fixed penalty per
// task: small jobs overtake large ones, and no job starves, because jobs that
// arrive later than its rank are placed behind it.
package queue
