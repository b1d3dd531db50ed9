package roster

import (
	"rosemarywalk/core/evacuation"
	"rosemarywalk/io/wire"
)

// evacuatedToWire encodes the evacuated failure domains for a heartbeat, nil if the other hosts
// need not know of them.
func evacuatedToWire(d evacuation.Domains) *wire.Evacuation {
	if !d.Relevant() {
		return nil
	}
	return &wire.Evacuation{
		Position: int(d.Position()),
		Domains:  d.Names(),
	}
}

// serveEvacuated passes on the evacuated failure domains in a heartbeat. An invalid set is
// ignored as a whole.
func (r *Roster) serveEvacuated(b *wire.Beat) {
	if b.Evacuated == nil {
		return
	}
	d := evacuation.New(int64(b.Evacuated.Position), b.Evacuated.Domains)
	if err := d.Check(); err != nil {
		r.counters.EvacuationInvalid()
		r.log.V(1).Info("invalid evacuated failure domains ignored", "address", b.Address, "error", err.Error())
		return
	}
	r.onEvacuated(d, b.Address)
}
