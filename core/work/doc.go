// Package work defines the types for work that the other packages share: jobs,
// their steps and tasks, and how runs of tasks end.
package work
