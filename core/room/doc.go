// Package room knows the capacity of a pool over time: what is free now, and what the ends of
// runs release later. It answers when and where the tasks of a job can start, and whether a task
// that goes ahead of it would delay that start.
package room
