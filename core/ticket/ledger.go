package ticket

import (
	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/juju/errors"
)

// Ledger remembers which sequence numbers of one incarnation were used.
//
// It never forgets: the bitmap is compressed, and sequence numbers are given
// out in order, so a busy hour costs kilobytes.
type Ledger struct{ used *roaring64.Bitmap }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{used: roaring64.New()} }

// MarkUsed marks a sequence number and reports whether it was still unused.
func (l *Ledger) MarkUsed(sequence uint64) bool { return l.used.CheckedAdd(sequence) }

// IsUsed reports whether the sequence number was used.
func (l *Ledger) IsUsed(sequence uint64) bool { return l.used.Contains(sequence) }

// Count returns how many sequence numbers were used.
func (l *Ledger) Count() uint64 { return l.used.GetCardinality() }

// Merge adds everything that another ledger holds.
func (l *Ledger) Merge(other *Ledger) { l.used.Or(other.used) }

// Bytes returns the ledger's serialized form for a hand-over.
func (l *Ledger) Bytes() ([]byte, error) {
	l.used.RunOptimize()
	raw, err := l.used.ToBytes()
	return raw, errors.Annotate(err, "serialize ledger")
}

// Size returns the ledger's serialized size, in bytes.
func (l *Ledger) Size() uint64 { return l.used.GetSerializedSizeInBytes() }

// ReadLedger reads what Bytes wrote.
func ReadLedger(raw []byte) (*Ledger, error) {
	l := NewLedger()
	if err := l.used.UnmarshalBinary(raw); err != nil {
		return nil, errors.Annotate(err, "read ledger")
	}
	return l, nil
}
