// Package hedge calls one HTTP server, and repeats calls whose answers are overdue on new
// connections, beside the earlier attempts.
package hedge
