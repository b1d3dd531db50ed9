// Package document is the operators' configuration: one INI document with a
// section for each team, its versions, and what is in force when.
package document
