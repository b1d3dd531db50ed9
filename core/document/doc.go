// Package document implements the operators' configuration: an INI document with a
// section for each team. Each section has numbered versions with activation times.
package document
