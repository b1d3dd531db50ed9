package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/owner"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/wire"
)

// announce sends the unfinished jobs of this host that other homes must know of to these.
func (s *Scheduler) announce() {
	for _, shard := range s.all() {
		sent := s.config.Now()
		if jobs := shard.announceable(); len(jobs) > 0 {
			s.announceJobs(shard, sent, jobs)
		}
	}
}

// announceJobs sends jobs to all other homes, and records which of them these leave to this
// host.
func (s *Scheduler) announceJobs(shard *Shard, sent time.Time, jobs []string) {
	former := shard.formerHomes()
	s.config.Counters.Messages("former", len(former))
	for _, home := range slices.Concat(s.otherHomes(shard.service), former) {
		go s.announceTo(home, shard, sent, jobs)
	}
}

// formerHomes returns the homes that left the plan recently.
func (s *Shard) formerHomes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.FormerHomes(s.now())
}

func (s *Scheduler) announceTo(home string, shard *Shard, sent time.Time, jobs []string) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	answer, err := s.config.Peers.Call(ctx, home, wire.Frame{Open: &wire.Open{
		Service: shard.service,
		Host:    s.config.Self,
		Jobs:    jobs,
	}})
	if err != nil || answer.Opened == nil {
		return
	}
	s.cancelLocally(answer.Opened.Canceled)
	votes, homeFor := votesOf(answer.Opened)
	shard.update(schedule.AcknowledgedMsg{
		Host:    home,
		Jobs:    without(jobs, answer.Opened.Refused),
		SentAt:  sent,
		Refused: without(answer.Opened.Refused, answer.Opened.Held),
		Held:    answer.Opened.Held,
		Age:     processAge(answer.Opened.Up),
		Votes:   votes,
		HomeFor: homeFor,
		WasFor:  optionalTime(answer.Opened.Was),
		Left:    optionalTime(answer.Opened.Left),
	})
}

// optionalTime returns the time in an optional field in microseconds, 0 if it is missing.
func optionalTime(field *int) time.Duration {
	if field == nil {
		return 0
	}
	return microseconds(*field)
}

// without returns the IDs that are not among the others.
func without(ids, others []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(others, id) })
}

// ask asks a home for the unfinished jobs that it coordinates until it answers, leaves, or
// the answer is not needed any more.
func (s *Scheduler) ask(service string, cmd schedule.AskCmd) {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Until.Sub(s.config.Now()))
	defer cancel()
	for ctx.Err() == nil && slices.Contains(s.otherHomes(service), cmd.Host) {
		if s.askOnce(ctx, service, cmd.Host) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(askInterval):
		}
	}
}

// askInterval is the delay before a home that didn't answer is asked again. An answer that
// takes longer than askTimeout counts as lost, unless this host is late to read it.
const (
	askInterval = 50 * time.Millisecond
	askTimeout  = 200 * time.Millisecond
)

func (s *Scheduler) askOnce(ctx context.Context, service, home string) bool {
	ctx, cancel := s.config.Meter.WithTimeout(ctx, 0, askTimeout)
	defer cancel()
	answer, err := s.config.Peers.Call(ctx, home, wire.Frame{Unknown: &wire.Unknown{
		Service: service,
		Jobs:    s.unfinished(),
	}})
	if err != nil || answer.Open == nil {
		return false
	}
	s.Shard(service).log.Info("home answered", "home", home, "jobs", len(answer.Open.Jobs), "up", processAge(answer.Open.Up).String())
	s.cancelLocally(answer.Open.Canceled)
	s.Shard(service).addLosses(answer.Open.Losses)
	for _, lent := range answer.Open.Lent {
		// That home may not be heard here.
		s.Shard(service).update(schedule.AnnouncedMsg{
			Host: lent.Home,
			Jobs: lent.Jobs,
		})
	}
	s.Shard(service).update(schedule.AnnouncedMsg{
		Host:     home,
		Jobs:     answer.Open.Jobs,
		Complete: true,
		Age:      processAge(answer.Open.Up),
	})
	return true
}

// processAge returns the age of another host's process, or 0 if it doesn't say.
func processAge(up *int) time.Duration {
	if up == nil {
		return 0
	}
	return microseconds(*up)
}

// votesOf returns the votes in another home's answer, and for how long it has been a home.
func votesOf(o *wire.Opened) (votes int, homeFor time.Duration) {
	if o.Votes == nil || o.Home == nil {
		return owner.HostVotes, processAge(o.Up)
	}
	return *o.Votes, microseconds(*o.Home)
}

// up returns the age of this process in microseconds, rounded up.
func (s *Scheduler) up() *int {
	up := int(s.config.Now().Sub(s.started).Microseconds()) + 1
	return &up
}

// ServeUnknown returns the jobs that this home announces, those that it runs tasks of for other
// homes, and which of the asking home's were canceled meanwhile, of all services: the service of a job changes with its route.
func (s *Scheduler) ServeUnknown(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Open: &wire.Open{
		Service:  f.Unknown.Service,
		Host:     s.config.Self,
		Jobs:     s.announceable(),
		Canceled: s.canceled(f.Unknown.Jobs),
		Lent:     s.lent(),
		Losses:   s.Shard(f.Unknown.Service).losses(),
		Up:       s.up(),
	}}, true
}

// updateHomes passes the homes of their services to all shards, once they should be known.
func (s *Scheduler) updateHomes() {
	s.homesUpdate.Lock()
	defer s.homesUpdate.Unlock()
	if !s.membershipSettled() {
		return
	}
	s.homesUpdatedAt = s.config.Now()
	self, view := s.config.Roster.Self(), s.viewWithPlans()
	votes, needed, all := view.HeardVotes(self.Domain), view.NeededVotes(), view.AllVotes()
	for _, shard := range s.all() {
		msg := schedule.HomesMsg{
			Domains: map[string]string{},
			Domain:  self.Domain,
			Votes:   votes,
			Needed:  needed,
			All:     all,
		}
		for _, home := range s.plan(shard.service).AllHomes() {
			if home.Address == s.config.Self {
				msg.Member = true
				continue
			}
			msg.Hosts = append(msg.Hosts, home.Address)
			msg.Domains[home.Address] = home.Domain
		}
		shard.logHomes(msg)
		shard.update(msg)
	}
}

// refreshHomes passes the homes to all shards, unless that was done recently.
func (s *Scheduler) refreshHomes() {
	s.homesUpdate.Lock()
	due := s.config.Now().Sub(s.homesUpdatedAt) >= confirmInterval
	s.homesUpdate.Unlock()
	if due {
		s.updateHomes()
	}
}

// isHome reports whether this host is a home of any service.
func (s *Scheduler) isHome() bool {
	return slices.ContainsFunc(s.all(), func(shard *Shard) bool {
		shard.mu.Lock()
		defer shard.mu.Unlock()
		return shard.loggedHomes.Member
	})
}

// logHomes logs the homes when they change.
func (s *Shard) logHomes(msg schedule.HomesMsg) {
	s.mu.Lock()
	old := s.loggedHomes
	changed := msg.Member != old.Member || msg.Votes != old.Votes || msg.Needed != old.Needed || !slices.Equal(msg.Hosts, old.Hosts)
	s.loggedHomes = msg
	s.mu.Unlock()
	if changed {
		s.log.Info("homes changed", "others", msg.Hosts, "member", msg.Member, "votes", msg.Votes, "needed", msg.Needed)
	}
}

// otherHomes returns the addresses of the other homes of a service.
func (s *Scheduler) otherHomes(service string) []string {
	var addresses []string
	for _, home := range s.plan(service).AllHomes() {
		if home.Address != s.config.Self {
			addresses = append(addresses, home.Address)
		}
	}
	return addresses
}

func (s *Scheduler) announceable() []string {
	var jobs []string
	for _, shard := range s.all() {
		jobs = append(jobs, shard.announceable()...)
	}
	return jobs
}

// unfinished returns the jobs that this host coordinates.
func (s *Scheduler) unfinished() []string {
	var jobs []string
	for _, shard := range s.all() {
		shard.mu.Lock()
		jobs = append(jobs, shard.jobs.Unfinished()...)
		shard.mu.Unlock()
	}
	return jobs
}

// lent returns the jobs of other homes of which this host runs tasks.
func (s *Scheduler) lent() []wire.LentJobs {
	var lent []wire.LentJobs
	for _, shard := range s.all() {
		shard.mu.Lock()
		byHome := shard.jobs.Lent(shard.now())
		shard.mu.Unlock()
		for _, home := range slices.Sorted(maps.Keys(byHome)) {
			lent = append(lent, wire.LentJobs{
				Home: home,
				Jobs: byHome[home],
			})
		}
	}
	return lent
}

func (s *Shard) announceable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Announceable(s.now())
}

// ServeOpen records the jobs that another home announces, and acknowledges them. A job that
// another shard knows is left to that shard.
func (s *Scheduler) ServeOpen(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	shard := s.Shard(f.Open.Service)
	votes, homeFor := shard.votes()
	was, left := shard.tenure()
	answer := s.recordAnnouncements(f.Open)
	refused := without(f.Open.Jobs, answer.Jobs)
	if len(refused) > 0 {
		shard.log.V(1).Info("announcement refused", "home", f.Open.Host, "jobs", refused)
	}
	return wire.Frame{Opened: &wire.Opened{
		Refused:  refused,
		Held:     without(refused, answer.Refused),
		Canceled: s.canceled(f.Open.Jobs),
		Up:       s.up(),
		Votes:    &votes,
		Home:     &homeFor,
		Was:      &was,
		Left:     &left,
	}}, true
}

// tenure returns in microseconds for how long this host was a home until recently, and how long
// ago it ceased to be one.
func (s *Shard) tenure() (was, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ago := s.jobs.Tenure(s.now())
	return int(d.Microseconds()), int(ago.Microseconds())
}

// votes returns this home's votes, and for how long it has been one in microseconds, for its
// answers to other homes.
func (s *Shard) votes() (votes, homeFor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	votes, d := s.jobs.Votes(s.now())
	return votes, int(d.Microseconds())
}

func (s *Scheduler) recordAnnouncements(open *wire.Open) (answer schedule.AcknowledgeCmd) {
	defer s.lockJobs(open.Jobs...)()
	shards := s.shardsOf(open.Service, "", open.Jobs...)
	for _, shard := range s.all() {
		jobs := slices.DeleteFunc(slices.Clone(open.Jobs), func(id string) bool { return shards[id] != shard })
		if len(jobs) == 0 {
			continue
		}
		part := shard.recordAnnouncements(schedule.AnnouncedMsg{
			Host: open.Host,
			Jobs: jobs,
		})
		answer.Jobs = append(answer.Jobs, part.Jobs...)
		answer.Refused = append(answer.Refused, part.Refused...)
	}
	return answer
}

func (s *Shard) recordAnnouncements(msg schedule.AnnouncedMsg) (answer schedule.AcknowledgeCmd) {
	s.mu.Lock()
	now := s.now()
	var effects []effect
	for _, cmd := range s.jobs.Update(now, msg) {
		if cmd, ok := cmd.(schedule.AcknowledgeCmd); ok {
			answer = cmd
			continue
		}
		msgs, run := s.runJobCmd(cmd)
		effects = append(append(effects, run...), s.process(now, msgs)...)
	}
	s.mu.Unlock()
	for _, run := range effects {
		run()
	}
	return answer
}

// maxJoins is how many homes a job is joined at, one after the other, if none of them knows it.
const maxJoins = 3

// coordinate submits a job to the shard that knows it, or else to that of its service. A job
// that another home announced is joined there, and started here only if that home doesn't
// know it. A job that was passed on is not passed on again.
func (s *Scheduler) coordinate(ctx context.Context, msg schedule.SubmitMsg, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	shard := s.Shard(msg.Job.Service)
	for range maxJoins {
		outcome, ok = s.submitLocally(ctx, msg, dropAfter)
		if !ok || outcome.State != work.Elsewhere {
			return outcome, ok
		}
		if msg.JoinOnly {
			break
		}
		msg.AbsentAt = outcome.Home
		outcome, ok = s.join(ctx, shard, outcome.Home, msg.Job, dropAfter)
		s.logJoin(msg.Job, outcome, ok)
		if !ok || outcome.State != work.Absent {
			return outcome, ok
		}
	}
	outcome.State, outcome.Reason = work.Broken, core.ReasonLink
	return outcome, true
}

// join waits for the outcome of a job that another home announced; ok is false if ctx
// ended first or the job was withdrawn. If ctx ended, that home keeps the job for dropAfter,
// so that its caller can reattach.
func (s *Scheduler) join(ctx context.Context, shard *Shard, home string, job work.Job, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	joinCtx, end := shard.beginJoin(ctx, schedule.JobName{
		Queue: job.Queue,
		ID:    job.ID,
	})
	defer end()
	outcome, err := s.forward(joinCtx, home, job, true)
	outcome.Home = home
	switch {
	case ctx.Err() != nil:
		time.AfterFunc(dropAfter, func() { s.sendDrop(home, job) })
		return outcome, false
	case joinCtx.Err() != nil:
		go s.sendDrop(home, job)
		return outcome, false
	case err != nil:
		// The job may still run there.
		outcome.State, outcome.Reason = work.Broken, core.ReasonLink
	}
	return outcome, true
}

func (s *Scheduler) logJoin(job work.Job, outcome work.Outcome, ok bool) {
	state := string(outcome.State)
	if !ok {
		state = "caller left"
	}
	s.config.Counters.Joined(state)
	s.config.Log.Info("job joined elsewhere", "job", job.ID, "home", outcome.Home, "age", s.config.Now().Sub(job.Arrived).String(),
		"state", state, "reason", outcome.Reason)
}

// joinCall is a call to the home that announced a job.
type joinCall struct{ cancel context.CancelFunc }

// beginJoin returns the context of a call to the home that announced a job, and a function
// to call when it has ended. The context also ends when the job is withdrawn.
func (s *Shard) beginJoin(ctx context.Context, name schedule.JobName) (joinCtx context.Context, end func()) {
	joinCtx, cancel := context.WithCancel(ctx)
	call := &joinCall{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joins[name] = append(s.joins[name], call)
	return joinCtx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.joins[name] = slices.DeleteFunc(s.joins[name], func(o *joinCall) bool { return o == call })
		if len(s.joins[name]) == 0 {
			delete(s.joins, name)
		}
	}
}

// withdrawJoin ends the call for a job to the home that announced it, unless the job has
// more than one caller.
func (s *Shard) withdrawJoin(withdrawn schedule.JobName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, calls := range s.joins {
		if name.Matches(withdrawn) && len(calls) == 1 {
			calls[0].cancel()
		}
	}
}
