// Package outline parses INI text and records the line of each section and key.
package outline
