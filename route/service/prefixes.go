package service

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/cacheindex"
)

// PrefixIndex is what this node thinks that the engines of a service have cached. It
// is a hint for the picker. Safe for concurrent use.
type PrefixIndex struct {
	now func() time.Time

	mu    sync.Mutex
	index *cacheindex.Index
	// eventPolls orders the replicas of the subset askedOf by when each was last eventPolls
	// for its events.
	eventPolls        balance.PollSchedule
	eventPollsVersion uint64
}

func newPrefixIndex(now func() time.Time) *PrefixIndex {
	return &PrefixIndex{now: now, index: cacheindex.New(cacheindex.Config{})}
}

// Holders returns the replicas that are thought to hold the most of a prompt's
// prefixes.
func (p *PrefixIndex) Holders(prefixes []uint64) []cacheindex.Holder {
	if len(prefixes) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Holders(p.now(), prefixes)
}

// Apply enters a replica's answer. One that comes after the node has left the
// replica is dropped: nothing would forget it before the subset changes again.
func (p *PrefixIndex) Apply(replica string, page cacheindex.Page) cacheindex.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.eventPolls.Has(replica) {
		return cacheindex.Continued
	}
	return p.index.Apply(p.now(), replica, page)
}

// Clear says that a stage of a replica has lost its cache. Only the first stage's
// events are read, and they do not tell.
func (p *PrefixIndex) Clear(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Clear(replica)
}

// EventsPoll is a replica whose cache events are to be asked for.
type EventsPoll struct {
	Replica string
	// Endpoint is the replica's first stage. Its cache stands for the chain's, as all
	// stages see the same prompts; a later one that loses its own is told by Lost.
	Endpoint string
	// LastSequence is the sequence number to ask after, Asked when this was last done.
	LastSequence uint64
	LastPolledAt time.Time
}

// NextEventsPoll returns, among the replicas that this node uses, the one that was asked
// for its events longest ago, and whether one of them must be asked in this of the
// turns that come a pause apart.
func (s *Service) NextEventsPoll(interval time.Duration) (next EventsPoll, mustPoll bool) {
	p := s.PrefixIndex
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateSubset()
	replica, lastPolled, _ := p.eventPolls.Oldest()
	return s.newEventsPoll(replica, lastPolled), p.eventPolls.Due(s.now(), interval)
}

// EventsPollFor returns the replica whose first stage is an endpoint, if half a round
// has passed since it was asked for its events: the endpoint is to be asked for
// its load, which it tells with the events.
func (s *Service) EventsPollFor(endpoint string, interval time.Duration) (EventsPoll, bool) {
	replicas := s.ReplicasOf(endpoint)
	p := s.PrefixIndex
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateSubset()
	for _, replica := range replicas {
		if s.firstStage(replica) == endpoint && p.eventPolls.HalfRoundElapsed(replica, s.now(), interval) {
			return s.newEventsPoll(replica, time.Time{}), true
		}
	}
	return EventsPoll{}, false
}

// updateSubset keeps the replicas that this node uses and forgets the others: a
// node that kept all of a large fleet's would outgrow its memory. The caller holds
// Prefixes.mu.
func (s *Service) updateSubset() {
	p := s.PrefixIndex
	version := s.Picker.SubsetVersion()
	if p.eventPollsVersion == version {
		return
	}
	subset := s.Picker.Subset()
	p.index.Retain(subset)
	p.eventPolls.SetEndpoints(subset)
	p.eventPollsVersion = version
}

// newEventsPoll is the question to a replica. The caller holds Prefixes.mu.
func (s *Service) newEventsPoll(replica string, lastPolled time.Time) EventsPoll {
	return EventsPoll{Replica: replica, Endpoint: s.firstStage(replica), LastSequence: s.PrefixIndex.index.LastSequence(replica), LastPolledAt: lastPolled}
}

// MarkEventsPolled notes that a replica is being asked, so that one which does not
// answer is not asked over and over before the others.
func (s *Service) MarkEventsPolled(replica string) {
	s.PrefixIndex.mu.Lock()
	defer s.PrefixIndex.mu.Unlock()
	s.PrefixIndex.eventPolls.Touch(replica, s.now())
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
