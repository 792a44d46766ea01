package cacheindex

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Defaults of Config; doc.go gives their grounds.
const (
	DefaultEntries    = 256
	DefaultStaleAfter = 10 * time.Second
)

// staleAfterPolls is how many pauses between two answers a replica may be silent.
const staleAfterPolls = 3

// Config sets an Index. Zero values take the defaults.
type Config struct {
	// Entries bounds the prefixes kept of a replica.
	Entries int
	// StaleAfter is the least time without an answer after which a replica's
	// prefixes are not trusted.
	StaleAfter time.Duration
}

// Event says that a prefix entered or left a replica's cache.
type Event struct {
	Sequence uint64
	Prefix   uint64
	Stored   bool
}

// Page is a replica's answer to a question for its events.
type Page struct {
	// Instance names the run of the engine's process; another one means that
	// the cache is empty.
	Instance string
	// Last is the sequence number of the last event that the engine shows,
	// also if that event was lost.
	Last uint64
	// Events are in the order of their sequence.
	Events []Event
}

// Change is what a page meant for the trust in a replica.
type Change uint8

const (
	// Continued pages follow the last one without a gap.
	Continued Change = iota
	// Gapped pages have lost events.
	Gapped
	// Restarted pages come from another instance.
	Restarted
)

var changeNames = [...]string{"continued", "gap", "restart"}

// String returns the change in a word.
func (c Change) String() string { return changeNames[c] }

// Holder is a replica that is thought to hold the first Blocks prefixes asked for.
type Holder struct {
	Replica string
	Blocks  int
}

// Index is what a node thinks that its replicas have cached. It is for one
// goroutine at a time.
type Index struct {
	maxEntries int
	staleAfter time.Duration
	replicas   map[string]*replicaState
}

// replicaState is what is known of one replica.
type replicaState struct {
	instance     string
	lastSequence uint64        // last sequence number shown
	lastPage     time.Time     // of the last page
	pollInterval time.Duration // between the last two
	lru          *list.List    // of uint64, the one asked for or stored last in front
	cached       map[uint64]*list.Element
}

// New returns an index that knows no replica.
func New(cfg Config) *Index {
	return &Index{
		maxEntries: cmp.Or(cfg.Entries, DefaultEntries),
		staleAfter: cmp.Or(cfg.StaleAfter, DefaultStaleAfter),
		replicas:   map[string]*replicaState{},
	}
}

// Retain keeps the parts of these replicas and forgets all others.
func (x *Index) Retain(replicas []string) {
	for replica := range x.replicas {
		if !slices.Contains(replicas, replica) {
			delete(x.replicas, replica)
		}
	}
}

// Clear forgets what a replica held, and goes on from the event last seen: a part of
// the replica lost its cache while the one that tells the events did not.
func (x *Index) Clear(replica string) {
	if p := x.replicas[replica]; p != nil {
		p.lru.Init()
		clear(p.cached)
	}
}

// LastSequence returns the sequence number to ask a replica's events after.
func (x *Index) LastSequence(replica string) uint64 {
	p := x.replicas[replica]
	if p == nil {
		return 0
	}
	return p.lastSequence
}

// Apply takes a replica's answer to a question for the events after After.
func (x *Index) Apply(now time.Time, replica string, page Page) Change {
	p := x.replicas[replica]
	change := Continued
	switch {
	case p == nil:
		p = newReplicaState(page.Instance)
		x.replicas[replica] = p
		// What the engine stored before this node asked is not among its events
		// any more. It is no loss: what is not known is not hinted at.
		p.lastSequence = sequenceBefore(page)
	case p.instance != page.Instance || page.Last < p.lastSequence:
		*p = *newReplicaState(page.Instance)
		p.lastSequence = sequenceBefore(page)
		change = Restarted
	default:
		p.pollInterval = now.Sub(p.lastPage)
	}
	p.lastPage = now
	lost := x.applyEvents(p, page)
	if lost == 0 || change == Restarted {
		return change
	}
	p.evictOldest(lost)
	return Gapped
}

func newReplicaState(instance string) *replicaState {
	return &replicaState{instance: instance, lru: list.New(), cached: map[uint64]*list.Element{}}
}

// sequenceBefore is the sequence number sequenceBefore a page's events.
func sequenceBefore(page Page) uint64 {
	if len(page.Events) == 0 {
		return page.Last
	}
	return max(page.Events[0].Sequence, 1) - 1
}

// applyEvents enters a page's events and returns how many were lost before, between and
// after them.
func (x *Index) applyEvents(p *replicaState, page Page) uint64 {
	lost := uint64(0)
	for _, e := range page.Events {
		if e.Sequence <= p.lastSequence {
			continue // known already
		}
		lost += e.Sequence - p.lastSequence - 1
		p.lastSequence = e.Sequence
		p.applyEvent(e, x.maxEntries)
	}
	if page.Last > p.lastSequence {
		lost += page.Last - p.lastSequence
		p.lastSequence = page.Last
	}
	return lost
}

func (p *replicaState) applyEvent(e Event, maxEntries int) {
	element, known := p.cached[e.Prefix]
	switch {
	case !e.Stored && known:
		p.evict(element)
	case e.Stored && known:
		p.lru.MoveToFront(element)
	case e.Stored:
		p.cached[e.Prefix] = p.lru.PushFront(e.Prefix)
		if p.lru.Len() > maxEntries {
			p.evict(p.lru.Back())
		}
	}
}

func (p *replicaState) evict(element *list.Element) {
	delete(p.cached, p.lru.Remove(element).(uint64))
}

// evictOldest forgets as many of the oldest entries as events were lost.
func (p *replicaState) evictOldest(lost uint64) {
	for range min(lost, uint64(p.lru.Len())) {
		p.evict(p.lru.Back())
	}
}

// Holders returns the replicas that are trusted to hold the most of the prefixes,
// which are those of one prompt, each longer than the one before. The replicas
// come with the most first; those that hold nothing are left out.
func (x *Index) Holders(now time.Time, prefixes []uint64) []Holder {
	var holders []Holder
	for replica, p := range x.replicas {
		if blocks := x.cachedBlocks(now, p, prefixes); blocks > 0 {
			holders = append(holders, Holder{replica, blocks})
		}
	}
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.Replica, b.Replica))
	})
	return holders
}

// cachedBlocks counts the prefixes from the first on that a part holds: an engine can
// use a longer one only if it has the shorter ones too.
func (x *Index) cachedBlocks(now time.Time, p *replicaState, prefixes []uint64) int {
	if now.Sub(p.lastPage) > max(x.staleAfter, staleAfterPolls*p.pollInterval) {
		return 0
	}
	for i, prefix := range prefixes {
		element, cached := p.cached[prefix]
		if !cached {
			return i
		}
		p.lru.MoveToFront(element)
	}
	return len(prefixes)
}
