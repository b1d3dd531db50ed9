// Package intake decides which clients may hold memory and connections of a process while
// their requests are read, and which of them give way when there isn't enough for all.
package intake
