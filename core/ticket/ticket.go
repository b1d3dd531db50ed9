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
	// IncarnationBytes is the size of a process's random name, in bytes.
	IncarnationBytes = 16
	// MinKeyBytes is the smallest authenticator key accepted, in bytes.
	MinKeyBytes = 16

	tagBytes = 16
	// A ticket travels in an HTTP header, so its length is bounded.
	textBytesMax = 512
)

// ErrForged says that a ticket's authenticator doesn't match its content.
const ErrForged = errors.ConstError("ticket is forged or damaged")

// ErrMalformed says that a text is no ticket at all.
const ErrMalformed = errors.ConstError("text is not a ticket")

// Incarnation is the random name of one run of one process.
type Incarnation [IncarnationBytes]byte

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// ParseIncarnation reads the hexadecimal form, or returns ErrMalformed.
func ParseIncarnation(text string) (Incarnation, error) {
	var inc Incarnation
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != IncarnationBytes {
		return inc, errors.Trace(ErrMalformed)
	}
	copy(inc[:], raw)
	return inc, nil
}

// ID identifies one ticket in the whole fleet.
type ID struct {
	Incarnation Incarnation
	Sequence    uint64
}

// Ticket names one submission and the only process that may start it.
type Ticket struct {
	ID      ID
	Address string // the issuer's peer address, as host:port
	Domain  string // the issuer's failure domain
}

// body is the signed part. It is a CBOR array to stay short.
type body struct {
	_           struct{} `cbor:",toarray"`
	Incarnation []byte
	Sequence    uint64
	Address     string
	Domain      string
}

// Key signs and checks tickets; every host of a fleet has the same one.
type Key struct{ secret []byte }

// NewKey returns a key, or an error when the secret is under KeyBytesMin.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < MinKeyBytes {
		return Key{}, errors.NotValidf("ticket secret of %d bytes (at least %d)", len(secret), MinKeyBytes)
	}
	return Key{secret: bytes.Clone(secret)}, nil
}

func (k Key) tag(raw []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(raw)
	return mac.Sum(nil)[:tagBytes]
}

// Encode returns the signed text form of a ticket.
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

// Decode checks the signature and returns the ticket, ErrMalformed or ErrForged.
func (k Key) Decode(text string) (Ticket, error) {
	if len(text) > textBytesMax {
		return Ticket{}, errors.Trace(ErrMalformed)
	}
	// Strict refuses stray bits at the end, so one ticket has one spelling.
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
