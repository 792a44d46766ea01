package service

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/cacheindex"
)

// Prefixes is what this node thinks that the engines of a service have cached. It
// is a hint for the picker. Safe for concurrent use.
type Prefixes struct {
	now func() time.Time

	mu    sync.Mutex
	index *cacheindex.Index
	// asked orders the replicas of the subset askedOf by when each was last asked
	// for its events.
	asked   balance.PollSchedule
	askedOf uint64
}

func newPrefixes(now func() time.Time) *Prefixes {
	return &Prefixes{now: now, index: cacheindex.New(cacheindex.Config{})}
}

// Holders returns the replicas that are thought to hold the most of a prompt's
// prefixes.
func (p *Prefixes) Holders(prefixes []uint64) []cacheindex.Holder {
	if len(prefixes) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Holders(p.now(), prefixes)
}

// Take enters a replica's answer. One that comes after the node has left the
// replica is dropped: nothing would forget it before the subset changes again.
func (p *Prefixes) Take(replica string, page cacheindex.Page) cacheindex.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked.Has(replica) {
		return cacheindex.Continued
	}
	return p.index.Apply(p.now(), replica, page)
}

// Lost says that a stage of a replica has lost its cache. Only the first stage's
// events are read, and they do not tell.
func (p *Prefixes) Lost(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Clear(replica)
}

// EventsDue is a replica whose cache events are to be asked for.
type EventsDue struct {
	Replica string
	// Endpoint is the replica's first stage. Its cache stands for the chain's, as all
	// stages see the same prompts; a later one that loses its own is told by Lost.
	Endpoint string
	// After is the sequence number to ask after, Asked when this was last done.
	After uint64
	Asked time.Time
}

// EventsDue returns, among the replicas that this node uses, the one that was asked
// for its events longest ago, and whether one of them must be asked in this of the
// turns that come a pause apart.
func (s *Service) EventsDue(pause time.Duration) (due EventsDue, must bool) {
	p := s.Prefixes
	p.mu.Lock()
	defer p.mu.Unlock()
	s.followSubset()
	replica, at, _ := p.asked.Oldest()
	return s.eventsOf(replica, at), p.asked.Due(s.now(), pause)
}

// EventsWith returns the replica whose first stage is an endpoint, if half a round
// has passed since it was asked for its events: the endpoint is to be asked for
// its load, which it tells with the events.
func (s *Service) EventsWith(endpoint string, pause time.Duration) (EventsDue, bool) {
	replicas := s.ReplicasOf(endpoint)
	p := s.Prefixes
	p.mu.Lock()
	defer p.mu.Unlock()
	s.followSubset()
	for _, replica := range replicas {
		if s.firstStage(replica) == endpoint && p.asked.HalfRoundElapsed(replica, s.now(), pause) {
			return s.eventsOf(replica, time.Time{}), true
		}
	}
	return EventsDue{}, false
}

// followSubset keeps the replicas that this node uses and forgets the others: a
// node that kept all of a large fleet's would outgrow its memory. The caller holds
// Prefixes.mu.
func (s *Service) followSubset() {
	p := s.Prefixes
	version := s.Picker.SubsetVersion()
	if p.askedOf == version {
		return
	}
	used := s.Picker.Subset()
	p.index.Retain(used)
	p.asked.SetEndpoints(used)
	p.askedOf = version
}

// eventsOf is the question to a replica. The caller holds Prefixes.mu.
func (s *Service) eventsOf(replica string, asked time.Time) EventsDue {
	return EventsDue{Replica: replica, Endpoint: s.firstStage(replica), After: s.Prefixes.index.LastSequence(replica), Asked: asked}
}

// EventsAsked notes that a replica is being asked, so that one which does not
// answer is not asked over and over before the others.
func (s *Service) EventsAsked(replica string) {
	s.Prefixes.mu.Lock()
	defer s.Prefixes.mu.Unlock()
	s.Prefixes.asked.Touch(replica, s.now())
}

func (s *Service) firstStage(replica string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	stages := s.stagesOf[replica]
	if len(stages) == 0 {
		return ""
	}
	return stages[0]
}
