package service

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/cacheindex"
)

// PrefixIndex is this node's estimate of which prompt prefixes the engines of a service
// have cached. The picker uses the estimate as a hint. Safe for concurrent use.
type PrefixIndex struct {
	now func() time.Time

	mu    sync.Mutex
	index *cacheindex.Index
	// eventPolls orders the replicas by the time of the last poll for cache events.
	// eventPollsVersion is the version of the subset that the replicas belong to.
	eventPolls        balance.PollSchedule
	eventPollsVersion uint64
}

func newPrefixIndex(now func() time.Time) *PrefixIndex {
	return &PrefixIndex{now: now, index: cacheindex.New(cacheindex.Config{})}
}

// Holders returns the replicas that have probably cached prefixes of a prompt, the one with
// the most cached blocks first. The given prefixes all belong to this prompt, each longer
// than the one before.
func (p *PrefixIndex) Holders(prefixes []uint64) []cacheindex.Holder {
	if len(prefixes) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Holders(p.now(), prefixes)
}

// Apply records the events that a replica returned. Events of a replica that this node no
// longer uses are dropped, because they would stay in memory until the subset changes
// again.
func (p *PrefixIndex) Apply(replica string, page cacheindex.Page) cacheindex.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.eventPolls.Has(replica) {
		return cacheindex.Continued
	}
	return p.index.Apply(p.now(), replica, page)
}

// Clear removes the prefixes of a replica from the index after one of its stages has lost
// its cache. The node reads only the first stage's events, which do not show the loss of a
// later stage's cache.
func (p *PrefixIndex) Clear(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Clear(replica)
}

// EventsPoll is a replica whose cache events should be polled.
type EventsPoll struct {
	Replica string
	// Endpoint is the replica's first stage. Its cache stands for the caches of all
	// stages, because all stages see the same prompts. If a later stage loses its cache,
	// PrefixIndex.Clear is called.
	Endpoint string
	// LastSequence is the sequence number of the last known event. The poll asks for the
	// events after it.
	LastSequence uint64
	// LastPolledAt is the time of the replica's last poll for cache events. EventsPollFor
	// leaves it zero.
	LastPolledAt time.Time
}

// NextEventsPoll returns the replica of the subset that has gone longest without a poll
// for cache events. interval is the time between two poll opportunities. One replica is
// polled at an opportunity, so a round of polls takes one interval per replica of the
// subset. mustPoll says whether a poll is due now: if this opportunity were not used, some
// replica of the subset would go without a poll for more than a round, even if every later
// opportunity were used.
func (s *Service) NextEventsPoll(interval time.Duration) (next EventsPoll, mustPoll bool) {
	p := s.PrefixIndex
	p.mu.Lock()
	defer p.mu.Unlock()
	s.updateSubset()
	replica, lastPolled, _ := p.eventPolls.Oldest()
	return s.newEventsPoll(replica, lastPolled), p.eventPolls.Due(s.now(), interval)
}

// EventsPollFor returns the replica whose first stage is the endpoint, if at least half a
// round has passed since the replica's last poll for cache events. It is called when the
// endpoint's load is polled, because one call can return both the load and the events.
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

// updateSubset drops the prefixes of the replicas that this node no longer uses. The prefixes
// of all replicas of a large fleet would not fit in the node's memory. The caller holds
// PrefixIndex.mu.
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

// newEventsPoll returns the next poll of a replica for cache events. The caller holds
// PrefixIndex.mu.
func (s *Service) newEventsPoll(replica string, lastPolled time.Time) EventsPoll {
	return EventsPoll{Replica: replica, Endpoint: s.firstStage(replica), LastSequence: s.PrefixIndex.index.LastSequence(replica), LastPolledAt: lastPolled}
}

// MarkEventsPolled records that a replica is being polled for cache events. If only answers
// were recorded, a replica that does not answer would be polled repeatedly before the others.
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
