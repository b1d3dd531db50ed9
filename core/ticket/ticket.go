package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// IncarnationBytes is the size of an incarnation, in bytes.
	IncarnationBytes = 16
	// MinKeyBytes is the minimum size of the secret that signs tickets, in bytes.
	MinKeyBytes = 16

	tagBytes = 16
	// A ticket is sent in an HTTP header, so its length is bounded.
	maxTextBytes = 512
)

// ErrForged is returned for a ticket whose signature doesn't match its content.
const ErrForged = errors.ConstError("ticket signature does not match its content")

// ErrMalformed is returned for a text that doesn't have the format of a ticket or
// an incarnation.
const ErrMalformed = errors.ConstError("malformed ticket or incarnation")

// Incarnation is a random identifier of one run of a process.
type Incarnation [IncarnationBytes]byte

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// ParseIncarnation parses the hexadecimal form. It returns ErrMalformed if the text
// is invalid.
func ParseIncarnation(text string) (Incarnation, error) {
	var inc Incarnation
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != IncarnationBytes {
		return inc, errors.Trace(ErrMalformed)
	}
	copy(inc[:], raw)
	return inc, nil
}

// ID identifies a ticket across all hosts.
type ID struct {
	Incarnation Incarnation
	Sequence    uint64
}

// Ticket identifies a submission and the only process that may start it.
type Ticket struct {
	ID      ID
	Address string // the issuer's peer address, as host:port
	Domain  string // the issuer's failure domain
}

// body is the signed part of a ticket, encoded as a CBOR array to keep it short.
type body struct {
	_           struct{} `cbor:",toarray"`
	Incarnation []byte
	Sequence    uint64
	Address     string
	Domain      string
}

// Key signs and verifies tickets. All hosts of a fleet share the same key.
type Key struct{ secret []byte }

// NewKey returns a key, or an error if the secret is shorter than MinKeyBytes.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < MinKeyBytes {
		return Key{}, errors.NotValidf("ticket secret of %d bytes (minimum %d)", len(secret), MinKeyBytes)
	}
	return Key{secret: bytes.Clone(secret)}, nil
}

func (k Key) tag(raw []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(raw)
	return mac.Sum(nil)[:tagBytes]
}

// Encode signs a ticket and returns it as unpadded base64url.
func (k Key) Encode(t Ticket) (string, error) {
	raw, err := cbor.Marshal(body{
		Incarnation: t.ID.Incarnation[:],
		Sequence:    t.ID.Sequence,
		Address:     t.Address,
		Domain:      t.Domain,
	})
	if err != nil {
		return "", errors.Annotate(err, "encode ticket")
	}
	return base64.RawURLEncoding.EncodeToString(append(raw, k.tag(raw)...)), nil
}

// Decode verifies the signature and returns the ticket. It fails with ErrMalformed
// or ErrForged.
func (k Key) Decode(text string) (Ticket, error) {
	if len(text) > maxTextBytes {
		return Ticket{}, errors.Trace(ErrMalformed)
	}
	// Strict rejects nonzero trailing padding bits, so that each ticket has exactly
	// one encoding.
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= tagBytes {
		return Ticket{}, errors.Trace(ErrMalformed)
	}
	signed, tag := raw[:len(raw)-tagBytes], raw[len(raw)-tagBytes:]
	if !hmac.Equal(tag, k.tag(signed)) {
		return Ticket{}, errors.Trace(ErrForged)
	}
	var b body
	if err := cbor.Unmarshal(signed, &b); err != nil || len(b.Incarnation) != IncarnationBytes {
		return Ticket{}, errors.Trace(ErrMalformed)
	}
	t := Ticket{
		ID:      ID{Sequence: b.Sequence},
		Address: b.Address,
		Domain:  b.Domain,
	}
	copy(t.ID.Incarnation[:], b.Incarnation)
	return t, nil
}
