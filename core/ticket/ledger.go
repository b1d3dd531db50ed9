package ticket

import (
	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/juju/errors"
)

// Ledger is the set of sequence numbers of one incarnation that were used.
//
// Entries are never removed. The bitmap is compressed and sequence numbers are
// issued in order, so an hour of high load takes only kilobytes.
type Ledger struct{ used *roaring64.Bitmap }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{used: roaring64.New()} }

// MarkUsed marks a sequence number as used and reports whether it was unused before.
func (l *Ledger) MarkUsed(sequence uint64) bool { return l.used.CheckedAdd(sequence) }

// IsUsed reports whether a sequence number was used.
func (l *Ledger) IsUsed(sequence uint64) bool { return l.used.Contains(sequence) }

// Count returns the number of used sequence numbers.
func (l *Ledger) Count() uint64 { return l.used.GetCardinality() }

// Merge adds the used sequence numbers of another ledger.
func (l *Ledger) Merge(other *Ledger) { l.used.Or(other.used) }

// Bytes returns the serialized ledger, as sent in a handover to a successor.
func (l *Ledger) Bytes() ([]byte, error) {
	l.used.RunOptimize()
	raw, err := l.used.ToBytes()
	return raw, errors.Annotate(err, "serialize ledger")
}

// Size returns the ledger's serialized size, in bytes.
func (l *Ledger) Size() uint64 { return l.used.GetSerializedSizeInBytes() }

// ReadLedger deserializes a ledger from the output of Bytes.
func ReadLedger(raw []byte) (*Ledger, error) {
	l := NewLedger()
	if err := l.used.UnmarshalBinary(raw); err != nil {
		return nil, errors.Annotate(err, "deserialize ledger")
	}
	return l, nil
}
