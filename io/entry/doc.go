// Package entry is the plug-in that takes jobs from callers on the users'
// platform, and drains the host at a planned stop.
package entry
