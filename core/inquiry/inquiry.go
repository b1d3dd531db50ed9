package inquiry

import "time"

// retryDelay is the least time between two questions to a host.
const retryDelay = 50 * time.Millisecond

// Votes are the votes for a home, by service, of the hosts that it hears in its failure domain.
type Votes map[string]int

// Inquiry tracks the questions to the hosts that may have a job.
type Inquiry struct {
	settledAt time.Time
	hosts     map[string]*host // by address
}

// host is what is known of one that may have the job.
type host struct {
	asking   bool
	askedAt  time.Time // when the latest question was sent
	answered bool
	votesAt  time.Time // when the question was sent that it answered last
	votes    Votes
}

// New returns an Inquiry that began at a time. After the window, a home that is not in touch
// with most hosts has no runs left of a job that it had then, and starts none.
func New(now time.Time, window time.Duration) *Inquiry {
	return &Inquiry{
		settledAt: now.Add(window),
		hosts:     map[string]*host{},
	}
}

// Due returns the hosts to ask now, of those that may have the job: they haven't answered, or
// their votes are needed as another one hasn't.
func (i *Inquiry) Due(now time.Time, addresses []string) []string {
	complete := i.complete(addresses)
	var due []string
	for _, address := range addresses {
		h := i.hosts[address]
		if h == nil {
			h = &host{}
			i.hosts[address] = h
		}
		needed := !h.answered || (!complete && !now.Before(i.settledAt))
		if !needed || h.asking || (!h.askedAt.IsZero() && now.Sub(h.askedAt) < retryDelay) {
			continue
		}
		h.asking, h.askedAt = true, now
		due = append(due, address)
	}
	return due
}

// Answer records the answer of a host, or that none came.
func (i *Inquiry) Answer(address string, votes Votes, ok bool) {
	h := i.hosts[address]
	h.asking = false
	if !ok {
		h.votes = nil
		return
	}
	h.answered, h.votes, h.votesAt = true, votes, h.askedAt
}

// IsDone reports whether no host starts the job any more: all that may have it have answered, or
// the others can't have a majority. isMajority tells that from the votes of homes, by address.
func (i *Inquiry) IsDone(now time.Time, addresses []string, isMajority func(map[string]Votes) bool) bool {
	if i.complete(addresses) {
		return true
	}
	if now.Before(i.settledAt) {
		return false
	}
	votes := map[string]Votes{}
	for address, h := range i.hosts {
		if h.answered && !h.votesAt.Before(i.settledAt) {
			votes[address] = h.votes
		}
	}
	return isMajority(votes)
}

func (i *Inquiry) complete(addresses []string) bool {
	for _, address := range addresses {
		if h := i.hosts[address]; h == nil || !h.answered {
			return false
		}
	}
	return true
}
