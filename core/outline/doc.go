// Package outline reads INI text and keeps the line of every section and key.
package outline
