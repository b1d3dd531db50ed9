package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"rosemarywalk/io/client"
)

// Report is the result of a run.
type Report struct {
	Jobs     int
	Complete int
	Failed   map[string]int          // by reason
	Unknown  int                     // calls without a whole answer
	Wrong    int                     // complete answers that don't match the job
	Tasks    int                     // of complete jobs
	Work     time.Duration           // run times of complete jobs' tasks, added up
	Refused  *hdrhistogram.Histogram // milliseconds until a job was refused or failed
	Slowdown *hdrhistogram.Histogram
	Elapsed  time.Duration
}

// slowdownScale keeps three decimals of a slowdown in the histogram.
const slowdownScale = 1000

// refusedMost is the longest time until a refusal that is recorded, in milliseconds.
const refusedMost = 3600_000

// slowdownMost is the largest slowdown recorded.
const slowdownMost = 100000

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Failed:   map[string]int{},
		Refused:  hdrhistogram.New(1, refusedMost, 3),
		Slowdown: hdrhistogram.New(1, slowdownMost*slowdownScale, 4),
	}
}

// Mean returns the mean slowdown.
func (r *Report) Mean() float64 { return r.Slowdown.Mean() / slowdownScale }

// Quantile returns the slowdown at a percentile.
func (r *Report) Quantile(percent float64) float64 {
	return float64(r.Slowdown.ValueAtQuantile(percent)) / slowdownScale
}

// warmup is the share of the arrivals at the start whose slowdown isn't recorded.
const warmup = 0.2

// runner sends the jobs of one run.
type runner struct {
	profile Profile
	service string
	clients []*client.Client
	warm    time.Duration // arrivals before it are the warm-up
	mu      sync.Mutex
	report  *Report
}

// Run sends a profile's jobs to hosts at base URLs and waits for all answers.
func Run(ctx context.Context, profile Profile, service string, hosts []string) (*Report, error) {
	r := &runner{
		profile: profile,
		service: service,
		report:  NewReport(),
	}
	for _, h := range hosts {
		r.clients = append(r.clients, client.New(h, newTransport()).WithService(service))
	}
	for _, c := range r.clients {
		if err := fill(ctx, c); err != nil {
			return nil, err
		}
	}
	begin := time.Now()
	r.send(ctx, begin)
	r.report.Elapsed = time.Since(begin)
	return r.report, nil
}

func newTransport() *http.Transport {
	const idle = 1000
	return &http.Transport{
		MaxIdleConnsPerHost: idle,
		MaxIdleConns:        idle,
		DisableCompression:  true,
	}
}

// fill makes the client fetch its first tickets before the run.
func fill(ctx context.Context, c *client.Client) error {
	_, err := c.Ticket(ctx)
	return errors.Annotate(err, "fetch tickets")
}

func (r *runner) send(ctx context.Context, begin time.Time) {
	var wg sync.WaitGroup
	jobs := r.profile.plan(len(r.clients))
	if len(jobs) > 0 {
		r.warm = time.Duration(warmup * float64(jobs[len(jobs)-1].at))
	}
	for _, job := range jobs {
		select {
		case <-time.After(time.Until(begin.Add(job.at))):
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() { r.one(ctx, job) })
	}
	wg.Wait()
}

func (r *runner) one(ctx context.Context, p planned) {
	arrived := time.Now()
	outcome, err := r.submit(ctx, p)
	took := time.Since(arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	switch {
	case err != nil:
		r.report.Unknown++
	case !outcome.Complete():
		r.report.Failed[string(outcome.Reason)]++
		_ = r.report.Refused.RecordValue(took.Milliseconds())
	default:
		r.complete(p, outcome, took)
	}
}

// submit does what a caller behind a balancer does: a host that is gone is
// passed over, and a call that broke is made again under the same ticket.
func (r *runner) submit(ctx context.Context, p planned) (client.Outcome, error) {
	job := client.Job{
		Service:  r.service,
		Deadline: int(r.profile.Deadline / time.Millisecond),
	}
	for _, run := range p.runs {
		body, err := json.Marshal(taskBody{Run: int(run / time.Millisecond)})
		if err != nil {
			return client.Outcome{}, errors.Annotate(err, "encode task")
		}
		job.Tasks = append(job.Tasks, client.Task{Body: body})
	}
	if r.profile.Keyed {
		return r.clients[p.host].SubmitKey(ctx, uuid.NewString(), job)
	}
	ticket := ""
	var outcome client.Outcome
	var err error
	for i := range r.clients {
		c := r.clients[(p.host+i)%len(r.clients)]
		if ticket == "" {
			if ticket, err = c.Ticket(ctx); err != nil {
				continue
			}
		}
		if outcome, err = c.Submit(ctx, ticket, job); err == nil {
			return outcome, nil
		}
	}
	return outcome, err
}

type taskBody struct {
	Run int `json:"run"`
}

type answerBody struct {
	Body taskBody `json:"body"`
}

// complete runs under the lock.
func (r *runner) complete(p planned, o client.Outcome, took time.Duration) {
	r.report.Complete++
	r.report.Tasks += len(p.runs)
	for _, run := range p.runs {
		r.report.Work += run
	}
	if !matches(p, o) {
		r.report.Wrong++
	}
	if p.at < r.warm {
		return
	}
	slowdown := float64(took) / float64(p.ideal())
	_ = r.report.Slowdown.RecordValue(int64(min(slowdown, slowdownMost) * slowdownScale))
}

// matches checks that each answer is the one to its own task.
func matches(p planned, o client.Outcome) bool {
	if len(o.Answers) != len(p.runs) {
		return false
	}
	for i, raw := range o.Answers {
		var a answerBody
		if json.Unmarshal(raw, &a) != nil || a.Body.Run != int(p.runs[i]/time.Millisecond) {
			return false
		}
	}
	return true
}
