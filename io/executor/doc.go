// Package executor is the plug-in that sends tasks to backend servers.
//
// A backend server runs no code of this project: it accepts POST /tasks/{service} over
// HTTP/1.1 and responds with the task's result. Status 429 is its only way to signal
// that it did not start a task.
package executor
