package ticket

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func key(t testing.TB) Key {
	t.Helper()
	k, err := NewKey([]byte("a secret of more than 16 bytes"))
	assert.NilError(t, err)
	return k
}

func sample() Ticket {
	return Ticket{
		ID: ID{
			Incarnation: Incarnation{1, 2, 3},
			Sequence:    1 << 40,
		},
		Address: "127.0.0.1:7100",
		Domain:  "makati",
	}
}

func TestTicketText(t *testing.T) {
	text, err := key(t).Encode(sample())
	assert.NilError(t, err)
	got, err := key(t).Decode(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sample())
}

func TestDecodeRefuses(t *testing.T) {
	text, err := key(t).Encode(sample())
	assert.NilError(t, err)
	foreign, err := NewKey([]byte("another secret of 16 bytes"))
	assert.NilError(t, err)
	forged, err := foreign.Encode(sample())
	assert.NilError(t, err)
	tests := []struct {
		name string
		text string
		want error
	}{
		{
			name: "empty",
			text: "",
			want: ErrMalformed,
		},
		{
			name: "no base64",
			text: "ticket please",
			want: ErrMalformed,
		},
		{
			name: "one byte changed",
			text: "x" + text[1:],
			want: ErrForged,
		},
		{
			name: "cut",
			text: text[:len(text)/4*4-4], // whole base64 groups
			want: ErrForged,
		},
		{
			name: "signed with another key",
			text: forged,
			want: ErrForged,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := key(t).Decode(test.text)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

// FuzzDecode: no text makes Decode panic, and only a ticket's own text passes.
func FuzzDecode(f *testing.F) {
	k := key(f)
	text, err := k.Encode(sample())
	assert.NilError(f, err)
	f.Add(text)
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := k.Decode(text)
		if err != nil {
			return
		}
		again, err := k.Encode(got)
		assert.NilError(t, err)
		assert.Equal(t, again, text)
	})
}

func TestLedger(t *testing.T) {
	l := NewLedger()
	assert.Assert(t, l.MarkUsed(5))
	assert.Assert(t, !l.MarkUsed(5))
	raw, err := l.Bytes()
	assert.NilError(t, err)
	read, err := ReadLedger(raw)
	assert.NilError(t, err)
	assert.Assert(t, read.IsUsed(5) && !read.IsUsed(6))
	read.Merge(l)
	assert.Equal(t, read.Count(), uint64(1))
}
