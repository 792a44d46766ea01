package drainnotice

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// HintLife is how long a notice stands that this node's own list has not
	// confirmed: the longest time between two looks at 2,200 nodes (220 s), rounded
	// up. A VM that left and was removed between two looks is never confirmed.
	HintLife = 4 * time.Minute
	// MaxHints bounds the notices that the list has not confirmed, and with them
	// what a faulty peer can fill: a large rack.
	MaxHints = 256
	// perMessage bounds the notices of one message, about 20 bytes each: a rack goes
	// in one. With 16, forty endpoints took 4.9 s to the last of 2,200 nodes.
	perMessage = 48
	// transmitFactor times log2 of the fleet's size is how often one node passes
	// on a notice, as with the news of members.
	transmitFactor = 2
	// transmitFloor is the least of that: in a fleet of three the two that know
	// can use up four between themselves, by chance.
	transmitFloor = 8
)

// Notice says that an endpoint's VM leaves.
type Notice struct {
	Endpoint string
	// Revision of the entry in the platform's list that says so.
	Revision int64
}

// VM is an entry of the platform's list of endpoint VMs.
type VM struct {
	Name     string
	Revision int64
	Leaving  bool
}

// Input is one of Listed and Heard.
type Input interface{ input() }

// Listed is what this node has read of the platform's list itself: all entries,
// or at least those written since the Revision that the last read was up to.
type Listed struct {
	VMs []VM
	// Revision of the store up to which the list was read.
	Revision int64
}

// Heard is what a peer's message carried.
type Heard struct{ Notices []Notice }

func (Listed) input() {}
func (Heard) input()  {}

// Batch is what a step asks for.
type Batch struct {
	// Relay asks for exchanges with a few peers at once.
	Relay bool
	// Changed: Leaving has changed.
	Changed bool
}

// Endpoint is one that leaves.
type Endpoint struct {
	Name string
	// Confirmed by this node's own list; otherwise it is a hint.
	Confirmed bool
}

// Config of a Machine.
type Config struct {
	// Interval between two regular exchanges. A relay is asked for at most once
	// in it, so that a rack that is drained VM by VM makes no storm; what comes
	// later goes with the next exchange.
	Interval time.Duration
}

// entry is a notice with what only this node knows of it.
type entry struct {
	Notice
	confirmed bool
	// heard is when the notice came, while it is a hint.
	heard time.Time
	// sent counts the messages that carried it.
	sent   int
	spread bool
	// learned numbers the notices of this node.
	learned int
}

// Machine is one node's knowledge of leaving endpoints. It holds nothing of those
// that stay. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	entries  map[string]*entry
	revision int64
	learned  int
	relayed  time.Time
	batch    Batch
}

// New returns a machine that has read no list.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, entries: map[string]*entry{}} }

// Step takes one input and returns what is to be done about it.
func (m *Machine) Step(now time.Time, in Input) Batch {
	m.batch = Batch{}
	m.expire(now)
	switch in := in.(type) {
	case Listed:
		m.listed(now, in)
	case Heard:
		m.heard(now, in.Notices)
	}
	return m.batch
}

// Leaving returns the endpoints that leave, confirmed ones first, in the order
// in which they were learned.
func (m *Machine) Leaving(now time.Time) []Endpoint {
	all := make([]*entry, 0, len(m.entries))
	for _, e := range m.entries {
		if e.confirmed || e.fresh(now) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if a.confirmed != b.confirmed {
			return rank(a.confirmed) - rank(b.confirmed)
		}
		return a.learned - b.learned
	})
	list := make([]Endpoint, 0, len(all))
	for _, e := range all {
		list = append(list, Endpoint{Name: e.Endpoint, Confirmed: e.confirmed})
	}
	return list
}

func rank(confirmed bool) int {
	if confirmed {
		return 0
	}
	return 1
}

// fresh says whether a hint still stands. One that does not is kept for a while
// so that a late message does not bring it back.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.heard) < HintLife }

func (m *Machine) expire(now time.Time) {
	for name, e := range m.entries {
		if !e.confirmed && now.Sub(e.heard) > 2*HintLife {
			delete(m.entries, name)
		}
	}
}

// listed takes this node's own read. The first one is not spread: each starting
// node would tell the fleet of all that has left before.
func (m *Machine) listed(now time.Time, in Listed) {
	first := m.revision == 0
	m.revision = in.Revision
	for _, vm := range in.VMs {
		if vm.Leaving {
			m.confirm(now, vm, !first)
			continue
		}
		m.contradict(vm)
	}
}

// confirm takes the list's word that a VM leaves, and spreads it if it is news.
func (m *Machine) confirm(now time.Time, vm VM, spread bool) {
	e := m.entries[vm.Name]
	if e != nil && e.Revision >= vm.Revision {
		m.batch.Changed = m.batch.Changed || !e.confirmed
		e.confirmed = true
		return
	}
	m.put(now, Notice{Endpoint: vm.Name, Revision: vm.Revision}, spread).confirmed = true
}

// contradict drops a notice that the list has overtaken: the VM's entry is newer,
// or the list was read beyond the notice and does not have it.
func (m *Machine) contradict(vm VM) {
	e := m.entries[vm.Name]
	if e == nil || (vm.Revision <= e.Revision && m.revision < e.Revision) {
		return
	}
	delete(m.entries, vm.Name)
	m.batch.Changed = true
}

// heard takes notices that are newer than what this node has read or heard.
func (m *Machine) heard(now time.Time, notices []Notice) {
	for _, n := range notices {
		if n.Revision <= m.revision {
			continue
		}
		e := m.entries[n.Endpoint]
		switch {
		case e != nil && e.Revision >= n.Revision:
		case e != nil && e.confirmed:
			// It leaves in any case; the hint must not take the place of a fact.
		case e == nil && len(m.entries) >= MaxHints && m.hints() >= MaxHints:
		default:
			m.put(now, n, true)
		}
	}
}

func (m *Machine) hints() int {
	n := 0
	for _, e := range m.entries {
		if !e.confirmed {
			n++
		}
	}
	return n
}

func (m *Machine) put(now time.Time, n Notice, spread bool) *entry {
	m.learned++
	e := &entry{Notice: n, heard: now, spread: spread, learned: m.learned}
	m.entries[n.Endpoint] = e
	m.batch.Changed = true
	if spread && now.Sub(m.relayed) >= m.cfg.Interval {
		m.relayed = now
		m.batch.Relay = true
	}
	return e
}

// Take returns the notices for one message: the least passed on, then the latest
// learned, without those that the peer has just sent itself. Nodes is the fleet's
// size.
func (m *Machine) Take(nodes int, known []Notice) []Notice {
	if len(m.entries) == 0 {
		return nil
	}
	limit := max(transmitFloor, transmitFactor*bits.Len(uint(nodes)))
	var order []*entry
	for _, e := range m.entries {
		switch {
		case !e.spread:
		case slices.Contains(known, e.Notice):
			e.count(limit)
		default:
			order = append(order, e)
		}
	}
	slices.SortFunc(order, compareEntries)
	notices := make([]Notice, 0, min(len(order), perMessage))
	for _, e := range order[:min(len(order), perMessage)] {
		notices = append(notices, e.Notice)
		e.count(limit)
	}
	return notices
}

func (e *entry) count(limit int) {
	e.sent++
	e.spread = e.sent < limit
}

func compareEntries(a, b *entry) int {
	switch {
	case a.sent != b.sent:
		return a.sent - b.sent
	case a.learned != b.learned:
		return b.learned - a.learned
	}
	return strings.Compare(a.Endpoint, b.Endpoint)
}
