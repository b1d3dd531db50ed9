// Package wire holds the messages between hosts, generated from a schema.
package wire

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags cbor,json --package wire --output wire.go wire.schema.json
