// Package wire defines the messages on the links between hosts. The types are
// generated from wire.schema.json and encoded as CBOR.
package wire

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags cbor,json --package wire --output wire.go wire.schema.json
