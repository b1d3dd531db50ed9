// Package settings reads a process's INI settings against a checked schema.
package settings
