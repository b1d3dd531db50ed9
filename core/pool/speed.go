package pool

import (
	"time"

	"rosemarywalk/core/speed"
)

// predicted returns the predicted time of a run at the server's speed, 0 if there is no
// prediction.
func (s *server) predicted(r *run) time.Duration {
	if s.speed == 1 {
		return r.task.PredictedTime
	}
	return time.Duration(float64(r.task.PredictedTime) / s.speed)
}

// recordSpeed updates the speed of a server with a run that is done.
func (m *Model) recordSpeed(now time.Time, s *server, took, predicted time.Duration) {
	if m.limits.SpeedWeight <= 0 {
		return
	}
	m.setEstimate(now, s, s.estimate.WithRun(now, took, predicted, m.limits.SpeedWeight))
}

// forgetSpeed drops what is known of the speed of a server that leaves or may be another one.
func (m *Model) forgetSpeed(s *server) { m.setEstimate(time.Time{}, s, speed.Estimate{}) }

func (m *Model) setEstimate(now time.Time, s *server, e speed.Estimate) {
	m.usual = m.usual.With(s.estimate, e)
	s.estimate, s.speed = e, e.Speed(now, m.usual)
}

// speedInterval is the interval at which the speeds of servers on which no run ends are updated.
const speedInterval = 200 * time.Millisecond

func (m *Model) updateSpeeds(now time.Time) {
	if m.limits.SpeedWeight <= 0 || now.Sub(m.speedsAt) < speedInterval {
		return
	}
	m.speedsAt = now
	for _, s := range m.sortedServers() {
		s.speed = s.estimate.Speed(now, m.usual)
	}
}

// Uneven returns how many of the owned servers are slower and faster than the usual one.
func (m *Model) Uneven() (slower, faster int) {
	for _, s := range m.servers {
		switch {
		case !s.owned():
		case s.speed < 1:
			slower++
		case s.speed > 1:
			faster++
		}
	}
	return slower, faster
}
