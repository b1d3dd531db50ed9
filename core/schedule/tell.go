package schedule

import "time"

// TellLimits sets how often other homes are told of this host's free room.
type TellLimits struct {
	Soon      time.Duration // between messages to a home that has little room itself
	Later     time.Duration // between messages to any other home
	Unchanged time.Duration // after which a home is told again though nothing changed
}

// telling is what a home was last told.
type telling struct {
	at     time.Time
	change int
	need   bool
}

// Teller decides which homes are told of this host's free room. Only a home that
// runs out of room of its own has use for fresh news of others'; telling all homes
// of each change would cost homes times homes messages.
type Teller struct {
	limits TellLimits
	told   map[string]telling   // by peer address
	needy  map[string]time.Time // homes with little room, and when they said so
}

// NewTeller returns a Teller that has told nobody.
func NewTeller(l TellLimits) *Teller {
	return &Teller{
		limits: l,
		told:   map[string]telling{},
		needy:  map[string]time.Time{},
	}
}

// SetLow notes whether a home has little room itself.
func (t *Teller) SetLow(now time.Time, host string, need bool) {
	if need {
		t.needy[host] = now
	} else {
		delete(t.needy, host)
	}
}

// needs reports whether a home said of late that it has little room; it says so again
// as long as that holds.
func (t *Teller) needs(now time.Time, host string) bool {
	const repeats = 3
	at, said := t.needy[host]
	return said && now.Sub(at) < repeats*t.limits.Unchanged
}

// Forget drops what is known of a home.
func (t *Teller) Forget(host string) {
	delete(t.told, host)
	delete(t.needy, host)
}

// Due returns which of some homes are to be told now, where change numbers the
// changes of the own room and need tells that it is little; they count as told then.
func (t *Teller) Due(now time.Time, hosts []string, change int, need bool) []string {
	var due []string
	for _, host := range hosts {
		last, known := t.told[host]
		since := now.Sub(last.at)
		pause := t.limits.Unchanged
		switch {
		case !known || (need && !last.need):
			pause = 0
		case change == last.change:
		case t.needs(now, host):
			pause = t.limits.Soon
		default:
			pause = t.limits.Later
		}
		if since >= pause {
			due = append(due, host)
			t.told[host] = telling{
				at:     now,
				change: change,
				need:   need,
			}
		}
	}
	return due
}
