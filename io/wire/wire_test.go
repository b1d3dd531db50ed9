package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestFrame checks that a frame is unchanged after encoding and decoding, body bytes
// that are not valid UTF-8 included.
func TestFrame(t *testing.T) {
	f := Frame{
		Id: 7,
		Call: &Call{
			Verb:   "submit",
			Ticket: "t",
			Body:   []byte{0xff, 0},
			Wait:   1,
		},
	}
	raw, err := cbor.Marshal(f)
	assert.NilError(t, err)
	var got Frame
	assert.NilError(t, cbor.Unmarshal(raw, &got))
	assert.DeepEqual(t, got, f)
}

// FuzzFrame checks that no input from a peer makes the decoder panic.
func FuzzFrame(f *testing.F) {
	raw, err := cbor.Marshal(Frame{Beat: &Beat{Host: "a"}})
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0xbf})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var frame Frame
		_ = cbor.Unmarshal(raw, &frame)
	})
}
