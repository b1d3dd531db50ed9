package scheduler

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"
)

// registerSpeeds registers gauges of the backend servers whose speed differs.
func registerSpeeds(r *prometheus.Registry, s *Scheduler) {
	gauge := func(name, help string, value func(slower, faster int) int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "rosemarywalk",
			Name:      name,
			Help:      help,
		}, func() float64 { return float64(value(s.uneven())) }))
	}
	gauge("slower", "Own backend servers that are slower than the usual one.", func(slower, _ int) int { return slower })
	gauge("faster", "Own backend servers that are faster than the usual one.", func(_, faster int) int { return faster })
}

// uneven returns how many of the backend servers of this host are slower and faster than the usual
// one of their service.
func (s *Scheduler) uneven() (slower, faster int) {
	for _, shard := range s.all() {
		shard.mu.Lock()
		less, more := shard.pool.Uneven()
		shard.mu.Unlock()
		slower, faster = slower+less, faster+more
	}
	return slower, faster
}

// percent is the number of hundredths in a speed of 1, the usual one.
const percent = 100

// maxPercent is the highest speed that another host may report or ask for.
const maxPercent = 400

// speedToWire returns a speed as a message holds it; the usual one, or 0 for an unknown one, is
// left out.
func speedToWire(speed float64) *int {
	if speed == 0 || speed == 1 {
		return nil
	}
	return new(int(math.Round(speed * percent)))
}

// speedFromWire returns a speed that another host reports. One that is missing or impossible
// counts as the usual one.
func speedFromWire(speed *int) float64 {
	if speed == nil || *speed <= 0 || *speed > maxPercent {
		return 1
	}
	return float64(*speed) / percent
}

// percentToWire returns a speed for which 0 means none, which is left out.
func percentToWire(speed float64) *int {
	if speed == 0 {
		return nil
	}
	return new(int(math.Round(speed * percent)))
}

// percentFromWire returns such a speed, 0 if it is missing or impossible.
func percentFromWire(speed *int) float64 {
	if speed == nil || *speed <= 0 || *speed > maxPercent {
		return 0
	}
	return float64(*speed) / percent
}
