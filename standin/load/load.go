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

// Report is the result of a load run.
type Report struct {
	Jobs          int
	Complete      int
	Failed        map[string]int          // number of failed jobs by reason
	Unknown       int                     // jobs whose call broke off without a complete answer
	Mismatched    int                     // complete jobs whose answers don't match their tasks
	Tasks         int                     // tasks of complete jobs
	TotalRunTime  time.Duration           // sum of the run times of complete jobs' tasks
	RefusalMillis *hdrhistogram.Histogram // time until a job was refused or failed, in milliseconds
	Slowdown      *hdrhistogram.Histogram
	Elapsed       time.Duration
}

// slowdownScale converts a slowdown to the histogram's integer values, which
// keeps three decimals.
const slowdownScale = 1000

// maxRefusalMillis is the upper limit of the histogram of refusal times; longer
// times aren't recorded.
const maxRefusalMillis = 3600_000

// maxSlowdown is the upper limit of the slowdown histogram; larger values are
// recorded as this one.
const maxSlowdown = 100000

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Failed:        map[string]int{},
		RefusalMillis: hdrhistogram.New(1, maxRefusalMillis, 3),
		Slowdown:      hdrhistogram.New(1, maxSlowdown*slowdownScale, 4),
	}
}

// MeanSlowdown returns the mean slowdown.
func (r *Report) MeanSlowdown() float64 { return r.Slowdown.Mean() / slowdownScale }

// SlowdownPercentile returns the slowdown at a percentile from 0 to 100.
func (r *Report) SlowdownPercentile(percent float64) float64 {
	return float64(r.Slowdown.ValueAtQuantile(percent)) / slowdownScale
}

// warmupShare is the share of the arrival period that counts as warm-up. The
// slowdown of jobs that arrive in it isn't recorded.
const warmupShare = 0.2

// runner submits the jobs of one load run.
type runner struct {
	profile   Profile
	service   string
	clients   []*client.Client
	warmupEnd time.Duration // end of the warm-up, from the start of the run
	mu        sync.Mutex
	report    *Report
}

// Run submits a profile's jobs to the hosts at the given base URLs and waits for
// all answers.
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
		if err := fetchTickets(ctx, c); err != nil {
			return nil, err
		}
	}
	begin := time.Now()
	r.submitAll(ctx, begin)
	r.report.Elapsed = time.Since(begin)
	return r.report, nil
}

func newTransport() *http.Transport {
	const maxIdleConns = 1000
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		MaxIdleConns:        maxIdleConns,
		DisableCompression:  true,
	}
}

// fetchTickets makes the client fetch its first batch of tickets, so that this
// isn't part of the first job's response time.
func fetchTickets(ctx context.Context, c *client.Client) error {
	_, err := c.Ticket(ctx)
	return errors.Annotate(err, "fetch tickets")
}

func (r *runner) submitAll(ctx context.Context, begin time.Time) {
	var wg sync.WaitGroup
	jobs := r.profile.drawJobs(len(r.clients))
	if len(jobs) > 0 {
		r.warmupEnd = time.Duration(warmupShare * float64(jobs[len(jobs)-1].arrival))
	}
	for _, job := range jobs {
		select {
		case <-time.After(time.Until(begin.Add(job.arrival))):
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() { r.runJob(ctx, job) })
	}
	wg.Wait()
}

func (r *runner) runJob(ctx context.Context, planned plannedJob) {
	arrived := time.Now()
	outcome, err := r.submit(ctx, planned)
	elapsed := time.Since(arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	switch {
	case err != nil:
		r.report.Unknown++
	case !outcome.Complete():
		r.report.Failed[string(outcome.Reason)]++
		_ = r.report.RefusalMillis.RecordValue(elapsed.Milliseconds())
	default:
		r.recordComplete(planned, outcome, elapsed)
	}
}

// submit acts like a caller behind a load balancer: it skips hosts that don't
// answer and repeats a failed call at the next host with the same ticket.
func (r *runner) submit(ctx context.Context, planned plannedJob) (client.Outcome, error) {
	job := client.Job{
		Service:  r.service,
		Deadline: int(r.profile.Deadline / time.Millisecond),
	}
	for _, run := range planned.runTimes {
		body, err := json.Marshal(taskBody{Run: int(run / time.Millisecond)})
		if err != nil {
			return client.Outcome{}, errors.Annotate(err, "encode task")
		}
		job.Tasks = append(job.Tasks, client.Task{Body: body})
	}
	if r.profile.Keyed {
		return r.clients[planned.host].SubmitWithKey(ctx, uuid.NewString(), job)
	}
	ticket := ""
	var outcome client.Outcome
	var err error
	for i := range r.clients {
		c := r.clients[(planned.host+i)%len(r.clients)]
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

// recordComplete adds a complete job to the report. The caller holds r.mu.
func (r *runner) recordComplete(planned plannedJob, outcome client.Outcome, elapsed time.Duration) {
	r.report.Complete++
	r.report.Tasks += len(planned.runTimes)
	for _, run := range planned.runTimes {
		r.report.TotalRunTime += run
	}
	if !answersMatch(planned, outcome) {
		r.report.Mismatched++
	}
	if planned.arrival < r.warmupEnd {
		return
	}
	slowdown := float64(elapsed) / float64(planned.idealTime())
	_ = r.report.Slowdown.RecordValue(int64(min(slowdown, maxSlowdown) * slowdownScale))
}

// answersMatch reports whether every answer echoes the run time of its own task.
func answersMatch(planned plannedJob, outcome client.Outcome) bool {
	if len(outcome.Answers) != len(planned.runTimes) {
		return false
	}
	for i, raw := range outcome.Answers {
		var a answerBody
		if json.Unmarshal(raw, &a) != nil || a.Body.Run != int(planned.runTimes[i]/time.Millisecond) {
			return false
		}
	}
	return true
}
