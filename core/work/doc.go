// Package work holds the words for work that the other parts share: jobs,
// their steps and tasks, and how runs of tasks end.
package work
