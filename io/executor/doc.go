// Package executor is the plug-in that sends tasks to backend servers.
//
// A backend server runs nothing of ours: it takes POST /tasks/{service} over
// HTTP/1.1 and answers with the task's result. Status 429 is its only way to
// say that it did not start a task.
package executor
