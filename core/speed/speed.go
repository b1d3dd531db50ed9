package speed

import (
	"math"
	"time"
)

const (
	// maxResidual bounds the effect of one run, as a difference of logarithms: a few runs take
	// many times as long as the others, on any server.
	maxResidual = 0.7
	// priorSamples is the number of runs at which an estimate counts half.
	priorSamples = 3
	// retention is the time constant with which earlier runs lose their weight.
	retention = 20 * time.Second
	// tolerance is the largest difference from the usual speed that counts as none.
	tolerance = 0.12
	// steps is the number of values that a speed of 1 is divided into. Coarse values keep
	// reports of free capacity equal as long as little changes.
	steps = 20
	// Speeds outside of these limits are cut.
	slowest, fastest = 0.1, 4
)

// Estimate is what is known of one server's speed; the zero value knows nothing.
type Estimate struct {
	mean    float64 // logarithm of run time divided by predicted run time
	samples float64 // number of runs that count
	at      time.Time
}

// WithRun returns the estimate with one more run. Weight is that of a run among many, above 0
// and up to 1; runs without a prediction or a run time don't count.
func (e Estimate) WithRun(now time.Time, took, predicted time.Duration, weight float64) Estimate {
	if took <= 0 || predicted <= 0 || weight <= 0 {
		return e
	}
	e.samples = math.Min(e.samplesAt(now)+1, 1/weight)
	e.at = now
	residual := math.Log(float64(took)/float64(predicted)) - e.mean
	e.mean += math.Max(-maxResidual, math.Min(maxResidual, residual)) / e.samples
	return e
}

// samplesAt returns the number of runs that still count.
func (e Estimate) samplesAt(now time.Time) float64 {
	if e.samples == 0 {
		return 0
	}
	return e.samples * math.Exp(-float64(max(0, now.Sub(e.at)))/float64(retention))
}

// confidence returns how far an estimate counts, from 0 to 1.
func confidence(samples float64) float64 { return samples / (samples + priorSamples) }

// Speed returns the work that the server does in a second relative to the usual server: 1 if
// the difference is small or not known, otherwise in steps of a twentieth.
func (e Estimate) Speed(now time.Time, u Usual) float64 {
	samples := e.samplesAt(now)
	if samples == 0 {
		return 1
	}
	value := math.Exp(confidence(samples) * (u.mean() - e.mean))
	if math.Abs(value-1) <= tolerance {
		return 1
	}
	return math.Round(math.Max(slowest, math.Min(fastest, value))*steps) / steps
}

// Usual is the mean of the estimates of all servers, which the speed of each is relative to:
// predictions that are too low on every server, as under a load beside, say nothing about one.
type Usual struct{ sum, weight float64 }

// With returns the mean with a server's estimate in place of an earlier one; the zero Estimate
// stands for none.
func (u Usual) With(before, after Estimate) Usual {
	weightBefore, weightAfter := confidence(before.samples), confidence(after.samples)
	u.sum += weightAfter*after.mean - weightBefore*before.mean
	u.weight += weightAfter - weightBefore
	return u
}

func (u Usual) mean() float64 {
	// A rest of rounding errors is no server.
	const noServer = 1e-6
	if u.weight < noServer {
		return 0
	}
	return u.sum / u.weight
}

// Shares adds up the capacity of servers by their speeds.
type Shares [fastest*steps + 1]int

// Add counts the capacity of a server.
func (s *Shares) Add(speed float64, capacity int) {
	s[int(math.Round(math.Max(0, math.Min(fastest, speed))*steps))] += capacity
}

// Top returns the highest speed that a share of the capacity has or exceeds, and 0 without any
// capacity. A share rather than the fastest server counts, as many tasks can't wait for one.
func (s *Shares) Top(share float64) float64 {
	total := 0
	for _, capacity := range s {
		total += capacity
	}
	above := 0
	for i := len(s) - 1; i >= 0 && total > 0; i-- {
		above += s[i]
		if float64(above) >= share*float64(total) {
			return float64(i) / steps
		}
	}
	return 0
}
