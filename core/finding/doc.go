// Package finding represents validation errors of an input file with their positions.
package finding
