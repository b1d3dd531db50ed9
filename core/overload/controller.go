package overload

import "time"

// Controller limits the jobs that a host has at the same time while it gets late to its work,
// as congestion control limits what is on its way. A job passes many queues of the host, so a
// limit answers a delay of each of them at once: jobs stay longer, and fewer come in. A
// Controller is immutable.
type Controller struct {
	target time.Duration

	delays    []measurement // of the latest delayWindow, oldest first, and at least two
	delay     time.Duration // shortest one of them
	updatedAt time.Time
	jobs      int     // that were accepted and have not ended
	limit     float64 // of jobs; 0 for none
}

// measurement is how late the host was once.
type measurement struct {
	at    time.Time
	delay time.Duration
}

// New returns a controller that keeps the delay of a host's work below a target. A target of 0
// refuses nothing.
func New(target time.Duration) Controller { return Controller{target: target} }

const (
	// delayWindow is longer than most times for which a host gets no processor time although it
	// has enough: it catches up in between.
	delayWindow = 50 * time.Millisecond

	shrinkRate = 4.0  // part of the limit that is dropped a second at twice the target or more
	growthRate = 1.0  // part of the limit that is added a second without a delay, at least of liftMargin
	minLimit   = 2.0  // leaves some jobs to notice the end of the overload by
	firstLimit = 10.0 // least jobs that a limit starts from, as a host without jobs may be late, too
	maxStep    = 100 * time.Millisecond

	// A limit ends when it exceeds the jobs by liftFactor and liftMargin.
	liftFactor = 2.0
	liftMargin = 20.0
)

// WithDelay returns the controller after a measurement: how late the host has got to work that
// was due at a known time. A single long delay, as after a pause, is no overload.
func (c Controller) WithDelay(now time.Time, late time.Duration) Controller {
	c = c.withMeasurement(measurement{
		at:    now,
		delay: late,
	})
	elapsed := min(now.Sub(c.updatedAt), maxStep).Seconds()
	if c.updatedAt.IsZero() {
		elapsed = 0
	}
	c.updatedAt = now
	if c.target <= 0 {
		return c
	}
	excess := (c.delay - c.target).Seconds() / c.target.Seconds()
	jobs := float64(c.jobs)
	switch {
	case excess > 0 && c.limit == 0:
		c.limit = max(firstLimit, jobs)
	case excess > 0:
		c.limit = max(minLimit, min(c.limit, max(firstLimit, jobs))*(1-shrinkRate*min(1, excess)*elapsed))
	case c.limit > 0:
		c.limit -= growthRate * max(c.limit, liftMargin) * excess * elapsed
		if c.limit > liftFactor*jobs+liftMargin {
			c.limit = 0
		}
	}
	return c
}

// withMeasurement returns the controller with a further measurement.
func (c Controller) withMeasurement(latest measurement) Controller {
	const least = 2
	kept := make([]measurement, 0, len(c.delays)+1)
	c.delay = latest.delay
	for i, m := range c.delays {
		if latest.at.Sub(m.at) < delayWindow || i >= len(c.delays)+1-least {
			kept = append(kept, m)
			c.delay = min(c.delay, m.delay)
		}
	}
	if len(kept) == 0 {
		c.delay = 0
	}
	c.delays = append(kept, latest)
	return c
}

// Delay returns how late the host gets to its work.
func (c Controller) Delay() time.Duration { return c.delay }

// WithJob returns the controller after a new job, and whether the job is to be refused. A job
// that isn't counts until WithoutJob.
func (c Controller) WithJob() (next Controller, refused bool) {
	if c.limit > 0 && float64(c.jobs) >= c.limit {
		return c, true
	}
	c.jobs++
	return c, false
}

// WithoutJob returns the controller after the end of a job.
func (c Controller) WithoutJob() Controller {
	c.jobs = max(0, c.jobs-1)
	return c
}
