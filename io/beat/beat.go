package beat

import (
	"time"

	"rosemarywalk/core/member"
	"rosemarywalk/io/wire"
)

// EncodeHosts converts hosts to their form in a heartbeat message.
func EncodeHosts(hosts []member.Host) []wire.Known {
	known := make([]wire.Known, 0, len(hosts))
	for _, h := range hosts {
		known = append(known, wire.Known{
			Host:     h.Incarnation,
			Address:  h.Address,
			Domain:   h.Domain,
			Count:    h.HeartbeatCount,
			Stopping: h.Stopping,
			Born:     int(h.StartedAtMillis),
			Age:      int(h.Age.Milliseconds()),
			Cores:    h.CPU,
			Home:     &h.FirstHome,
		})
	}
	return known
}

// DecodeHeartbeat converts a received heartbeat to the message for the membership model.
func DecodeHeartbeat(b *wire.Beat) member.HeartbeatMsg {
	msg := member.HeartbeatMsg{From: member.Host{
		Incarnation:     b.Host,
		Address:         b.Address,
		Domain:          b.Domain,
		HeartbeatCount:  b.Count,
		Stopping:        b.Stopping,
		StartedAtMillis: int64(b.Born),
		CPU:             b.Cores,
		FirstHome:       textOf(b.Home),
	}}
	for _, k := range b.Known {
		msg.Entries = append(msg.Entries, member.Host{
			Incarnation:     k.Host,
			Address:         k.Address,
			Domain:          k.Domain,
			HeartbeatCount:  k.Count,
			Stopping:        k.Stopping,
			StartedAtMillis: int64(k.Born),
			Age:             time.Duration(k.Age) * time.Millisecond,
			CPU:             k.Cores,
			FirstHome:       textOf(k.Home),
		})
	}
	return msg
}

// textOf returns the text in an optional field, "" if it is missing.
func textOf(field *string) string {
	if field == nil {
		return ""
	}
	return *field
}
