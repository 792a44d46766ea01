package cacheindex

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Defaults of Config; doc.go gives the reasons for the values.
const (
	DefaultEntries    = 256
	DefaultStaleAfter = 10 * time.Second
)

// staleAfterPolls is a number of poll intervals. A replica's entries become stale, and
// are no longer used, if no page arrives for this many intervals and for
// Config.StaleAfter.
const staleAfterPolls = 3

// Config configures an Index. Zero values take the defaults.
type Config struct {
	// Entries is the maximum number of prefixes that the index keeps per replica.
	Entries int
	// StaleAfter is the shortest time without a page after which a replica's entries
	// become stale.
	StaleAfter time.Duration
}

// Event reports that an engine stored a prefix in its cache (Stored) or evicted the
// prefix. Prefix is the hash of the prefix.
type Event struct {
	Sequence uint64
	Prefix   uint64
	Stored   bool
}

// Page is a replica's answer to one request for its events.
type Page struct {
	// Instance identifies the run of the engine's process. A new instance starts with an
	// empty cache.
	Instance string
	// Last is the sequence number of the last event that the engine published, even if
	// that event was lost.
	Last uint64
	// Events are in the order of their sequence numbers.
	Events []Event
}

// Change tells whether a page directly follows the previous page from the same replica.
type Change uint8

const (
	// Continued means that no event was lost. Continued also applies to the first page of
	// a replica.
	Continued Change = iota
	// Gapped means that events were lost.
	Gapped
	// Restarted means that the engine restarted: the page comes from a new instance, or
	// its last sequence number is lower than that of the previous page.
	Restarted
)

var changeNames = [...]string{"continued", "gap", "restart"}

func (c Change) String() string { return changeNames[c] }

// Holder is a replica that probably has the beginning of a prompt cached. Blocks is the
// number of the prompt's prefixes that are cached, counted from the shortest.
type Holder struct {
	Replica string
	Blocks  int
}

// Index is a node's estimate of what its replicas have cached. It is not safe for
// concurrent use.
type Index struct {
	maxEntries int
	staleAfter time.Duration
	states     map[string]*replicaState
}

// replicaState is the estimate for one replica.
type replicaState struct {
	instance     string
	lastSequence uint64        // of the last event known to be published
	lastPageAt   time.Time     // when the last page was received
	pollInterval time.Duration // time between the last two pages
	lru          *list.List    // uint64 hashes of prefixes, the most recently stored or requested first
	cached       map[uint64]*list.Element
}

// New returns an empty index.
func New(cfg Config) *Index {
	return &Index{
		maxEntries: cmp.Or(cfg.Entries, DefaultEntries),
		staleAfter: cmp.Or(cfg.StaleAfter, DefaultStaleAfter),
		states:     map[string]*replicaState{},
	}
}

// Retain keeps the entries of the given replicas and drops all others.
func (x *Index) Retain(replicas []string) {
	for replica := range x.states {
		if !slices.Contains(replicas, replica) {
			delete(x.states, replica)
		}
	}
}

// Clear drops the entries of a replica and keeps its sequence number. One stage
// publishes the events of a replica. Call Clear when another stage has lost its cache: no
// event reports this loss.
func (x *Index) Clear(replica string) {
	if s := x.states[replica]; s != nil {
		s.lru.Init()
		clear(s.cached)
	}
}

// LastSequence returns the sequence number after which to request a replica's events.
func (x *Index) LastSequence(replica string) uint64 {
	s := x.states[replica]
	if s == nil {
		return 0
	}
	return s.lastSequence
}

// Apply records a replica's answer to the request for the events after LastSequence.
func (x *Index) Apply(now time.Time, replica string, page Page) Change {
	s := x.states[replica]
	change := Continued
	switch {
	case s == nil:
		s = newReplicaState(page.Instance)
		x.states[replica] = s
		// The engine no longer has the events from before this node's first request.
		// These events do not count as lost, because a prefix that is not in the index
		// gives no wrong hint.
		s.lastSequence = sequenceBefore(page)
	case s.instance != page.Instance || page.Last < s.lastSequence:
		*s = *newReplicaState(page.Instance)
		s.lastSequence = sequenceBefore(page)
		change = Restarted
	default:
		s.pollInterval = now.Sub(s.lastPageAt)
	}
	s.lastPageAt = now
	lost := x.applyEvents(s, page)
	if lost == 0 || change == Restarted {
		return change
	}
	s.evictOldest(lost)
	return Gapped
}

func newReplicaState(instance string) *replicaState {
	return &replicaState{instance: instance, lru: list.New(), cached: map[uint64]*list.Element{}}
}

// sequenceBefore returns the sequence number that precedes a page's events.
func sequenceBefore(page Page) uint64 {
	if len(page.Events) == 0 {
		return page.Last
	}
	return max(page.Events[0].Sequence, 1) - 1
}

// applyEvents applies a page's events. applyEvents returns how many events are missing
// before the first event of the page, between two of its events, and from the last of its
// events up to Page.Last.
func (x *Index) applyEvents(s *replicaState, page Page) uint64 {
	lost := uint64(0)
	for _, e := range page.Events {
		if e.Sequence <= s.lastSequence {
			continue // the event is already applied
		}
		lost += e.Sequence - s.lastSequence - 1
		s.lastSequence = e.Sequence
		s.applyEvent(e, x.maxEntries)
	}
	if page.Last > s.lastSequence {
		lost += page.Last - s.lastSequence
		s.lastSequence = page.Last
	}
	return lost
}

func (s *replicaState) applyEvent(e Event, maxEntries int) {
	element, known := s.cached[e.Prefix]
	switch {
	case !e.Stored && known:
		s.evict(element)
	case e.Stored && known:
		s.lru.MoveToFront(element)
	case e.Stored:
		s.cached[e.Prefix] = s.lru.PushFront(e.Prefix)
		if s.lru.Len() > maxEntries {
			s.evict(s.lru.Back())
		}
	}
}

func (s *replicaState) evict(element *list.Element) {
	delete(s.cached, s.lru.Remove(element).(uint64))
}

// evictOldest drops as many of the oldest entries as events were lost.
func (s *replicaState) evictOldest(lost uint64) {
	for range min(lost, uint64(s.lru.Len())) {
		s.evict(s.lru.Back())
	}
}

// Holders returns the replicas that probably have prefixes of a prompt cached, the one
// with the most blocks first. The given hashes are those of the prompt's prefixes, from
// the shortest prefix to the longest. Replicas that have none of the prefixes are
// omitted.
func (x *Index) Holders(now time.Time, prefixes []uint64) []Holder {
	var holders []Holder
	for replica, s := range x.states {
		if blocks := x.cachedBlocks(now, s, prefixes); blocks > 0 {
			holders = append(holders, Holder{replica, blocks})
		}
	}
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.Replica, b.Replica))
	})
	return holders
}

// cachedBlocks counts the prefixes that a replica has cached, from the shortest up to the
// first that is missing. An engine can use a longer prefix only if it also has all
// shorter ones.
func (x *Index) cachedBlocks(now time.Time, s *replicaState, prefixes []uint64) int {
	if now.Sub(s.lastPageAt) > max(x.staleAfter, staleAfterPolls*s.pollInterval) {
		return 0
	}
	for i, prefix := range prefixes {
		element, cached := s.cached[prefix]
		if !cached {
			return i
		}
		s.lru.MoveToFront(element)
	}
	return len(prefixes)
}
