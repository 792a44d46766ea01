package cacheindex

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Defaults of Config; doc.go gives their grounds.
const (
	DefaultEntries = 256
	DefaultSilence = 10 * time.Second
)

// silentPolls is how many pauses between two answers a replica may be silent.
const silentPolls = 3

// Config sets an Index. Zero values take the defaults.
type Config struct {
	// Entries bounds the prefixes kept of a replica.
	Entries int
	// Silence is the least time without an answer after which a replica's
	// prefixes are not trusted.
	Silence time.Duration
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
	entries int
	silence time.Duration
	parts   map[string]*part
}

// part is what is known of one replica.
type part struct {
	instance string
	seen     uint64        // last sequence number shown
	heard    time.Time     // of the last page
	pause    time.Duration // between the last two
	order    *list.List    // of uint64, the one asked for or stored last in front
	held     map[uint64]*list.Element
}

// New returns an index that knows no replica.
func New(cfg Config) *Index {
	return &Index{
		entries: cmp.Or(cfg.Entries, DefaultEntries),
		silence: cmp.Or(cfg.Silence, DefaultSilence),
		parts:   map[string]*part{},
	}
}

// Retain keeps the parts of these replicas and forgets all others.
func (x *Index) Retain(replicas []string) {
	for known := range x.parts {
		if !slices.Contains(replicas, known) {
			delete(x.parts, known)
		}
	}
}

// Lost forgets what a replica held, and goes on from the event last seen: a part of
// the replica lost its cache while the one that tells the events did not.
func (x *Index) Lost(replica string) {
	if p := x.parts[replica]; p != nil {
		p.order.Init()
		clear(p.held)
	}
}

// After returns the sequence number to ask a replica's events after.
func (x *Index) After(replica string) uint64 {
	p := x.parts[replica]
	if p == nil {
		return 0
	}
	return p.seen
}

// Apply takes a replica's answer to a question for the events after After.
func (x *Index) Apply(now time.Time, replica string, page Page) Change {
	p := x.parts[replica]
	change := Continued
	switch {
	case p == nil:
		p = newPart(page.Instance)
		x.parts[replica] = p
		// What the engine stored before this node asked is not among its events
		// any more. It is no loss: what is not known is not hinted at.
		p.seen = before(page)
	case p.instance != page.Instance || page.Last < p.seen:
		*p = *newPart(page.Instance)
		p.seen = before(page)
		change = Restarted
	default:
		p.pause = now.Sub(p.heard)
	}
	p.heard = now
	lost := x.take(p, page)
	if lost == 0 || change == Restarted {
		return change
	}
	p.distrust(lost)
	return Gapped
}

func newPart(instance string) *part {
	return &part{instance: instance, order: list.New(), held: map[uint64]*list.Element{}}
}

// before is the sequence number before a page's events.
func before(page Page) uint64 {
	if len(page.Events) == 0 {
		return page.Last
	}
	return max(page.Events[0].Sequence, 1) - 1
}

// take enters a page's events and returns how many were lost before, between and
// after them.
func (x *Index) take(p *part, page Page) uint64 {
	lost := uint64(0)
	for _, e := range page.Events {
		if e.Sequence <= p.seen {
			continue // known already
		}
		lost += e.Sequence - p.seen - 1
		p.seen = e.Sequence
		p.enter(e, x.entries)
	}
	if page.Last > p.seen {
		lost += page.Last - p.seen
		p.seen = page.Last
	}
	return lost
}

func (p *part) enter(e Event, bound int) {
	element, known := p.held[e.Prefix]
	switch {
	case !e.Stored && known:
		p.drop(element)
	case e.Stored && known:
		p.order.MoveToFront(element)
	case e.Stored:
		p.held[e.Prefix] = p.order.PushFront(e.Prefix)
		if p.order.Len() > bound {
			p.drop(p.order.Back())
		}
	}
}

func (p *part) drop(element *list.Element) {
	delete(p.held, p.order.Remove(element).(uint64))
}

// distrust forgets as many of the oldest entries as events were lost.
func (p *part) distrust(lost uint64) {
	for range min(lost, uint64(p.order.Len())) {
		p.drop(p.order.Back())
	}
}

// Holders returns the replicas that are trusted to hold the most of the prefixes,
// which are those of one prompt, each longer than the one before. The replicas
// come with the most first; those that hold nothing are left out.
func (x *Index) Holders(now time.Time, prefixes []uint64) []Holder {
	var holders []Holder
	for replica, p := range x.parts {
		if blocks := x.blocks(now, p, prefixes); blocks > 0 {
			holders = append(holders, Holder{replica, blocks})
		}
	}
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.Replica, b.Replica))
	})
	return holders
}

// blocks counts the prefixes from the first on that a part holds: an engine can
// use a longer one only if it has the shorter ones too.
func (x *Index) blocks(now time.Time, p *part, prefixes []uint64) int {
	if now.Sub(p.heard) > max(x.silence, silentPolls*p.pause) {
		return 0
	}
	for i, prefix := range prefixes {
		element, held := p.held[prefix]
		if !held {
			return i
		}
		p.order.MoveToFront(element)
	}
	return len(prefixes)
}
