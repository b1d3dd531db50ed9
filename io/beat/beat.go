package beat

import (
	"time"

	"rosemarywalk/core/member"
	"rosemarywalk/io/wire"
)

// Known converts hosts to their form in a heartbeat message.
func Known(hosts []member.Host) []wire.Known {
	known := make([]wire.Known, 0, len(hosts))
	for _, h := range hosts {
		known = append(known, wire.Known{
			Host:     h.Incarnation,
			Address:  h.Address,
			Domain:   h.Domain,
			Count:    h.Count,
			Stopping: h.Stopping,
			Born:     int(h.Born),
			Age:      int(h.Age.Milliseconds()),
			Cores:    h.Cores,
		})
	}
	return known
}

// Msg converts a received heartbeat to the message for the membership model.
func Msg(b *wire.Beat) member.BeatMsg {
	msg := member.BeatMsg{From: member.Host{
		Incarnation: b.Host,
		Address:     b.Address,
		Domain:      b.Domain,
		Count:       b.Count,
		Stopping:    b.Stopping,
		Born:        int64(b.Born),
		Cores:       b.Cores,
	}}
	for _, k := range b.Known {
		msg.Known = append(msg.Known, member.Host{
			Incarnation: k.Host,
			Address:     k.Address,
			Domain:      k.Domain,
			Count:       k.Count,
			Stopping:    k.Stopping,
			Born:        int64(k.Born),
			Age:         time.Duration(k.Age) * time.Millisecond,
			Cores:       k.Cores,
		})
	}
	return msg
}
