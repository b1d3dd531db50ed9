// Package config is the plug-in for the operators' configuration document. It books
// changes in the platform's table, receives them from the table or from peers, and
// activates each change at its date.
package config
