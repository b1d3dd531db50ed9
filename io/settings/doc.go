// Package settings parses the INI settings file of a process and validates it against
// a schema.
package settings
