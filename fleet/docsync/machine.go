package docsync

import "slices"

// startAnswers is how many peers a starting node hears, if it knows as many,
// before it trusts their highest record without the store.
const startAnswers = 3

// kept earlier records serve as bases of differences for peers that lag.
const kept = 2

// Node is a peer as this package sees it.
type Node struct {
	Name          string
	FailureDomain string
	// Heard: it spoke to some node, rather than only stand in the list.
	Heard bool
	// Steady: neither suspect nor gone.
	Steady bool
}

// Source says where a record came from.
type Source int

// The sources of a record.
const (
	FromStore Source = iota
	FromPeer
)

// Input is one of Members, Learned, StoreEmpty, Heard and PushFailed.
type Input interface{ input() }

// Members is the fleet as now known, without members that are gone and
// without this node.
type Members struct {
	Nodes []Node
	// Whole: this node has received a peer's whole view since its start.
	Whole bool
}

// Learned is a record that came from the store or from a peer.
type Learned struct {
	Record Record
	Source Source
}

// StoreEmpty says that the store answered and holds no record yet.
type StoreEmpty struct{}

// Heard is what a peer said it holds.
type Heard struct {
	Peer    string
	Holding Holding
	// Asked: this node started the exchange, so the peer waits for nothing.
	Asked bool
}

// PushFailed says that a child did not answer; its children are taken over.
type PushFailed struct {
	Peer     string
	Revision int64
}

func (Members) input()    {}
func (Learned) input()    {}
func (StoreEmpty) input() {}
func (Heard) input()      {}
func (PushFailed) input() {}

// Batch is what a step asks for.
type Batch struct {
	// Accepted is a record that is in force from now on.
	Accepted *Record
	// Push names the peers to offer the latest record to.
	Push []string
	// Fetch names a peer that holds a higher record; empty: none.
	Fetch string
	// Conflict: two records of one revision exist. The first one is kept.
	Conflict bool
}

// Config of a Machine.
type Config struct {
	Self          string
	FailureDomain string
	Environment   string
}

// Machine is one node's part in the spreading of one environment's record. It
// is not safe for concurrent use.
type Machine struct {
	cfg    Config
	latest Record
	bases  []Record
	// domain holds the names of this failure domain, this node included.
	domain []string
	// candidates of the domain for a watch, this node included.
	candidates []string
	// steady counts the peers that can be expected to answer.
	steady     int
	whole      bool
	storeEmpty bool
	ready      bool
	// answers hold what peers said until this node is ready.
	answers map[string]int64
}

// New returns the machine of a node that holds nothing.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:        cfg,
		domain:     []string{cfg.Self},
		candidates: []string{cfg.Self},
		answers:    map[string]int64{},
	}
}

// Step takes one input and returns what is to be done about it.
func (m *Machine) Step(in Input) Batch {
	switch in := in.(type) {
	case Members:
		m.setMembers(in)
		m.settle()
	case Learned:
		return m.learned(in)
	case StoreEmpty:
		m.storeEmpty = true
		m.settle()
	case Heard:
		return m.heard(in)
	case PushFailed:
		return m.pushFailed(in)
	}
	return Batch{}
}

// Latest is the record in force on this node, if Ready.
func (m *Machine) Latest() Record { return m.latest }

// Ready says that the record may be served: it is the highest of what the
// store, or enough peers, hold.
func (m *Machine) Ready() bool { return m.ready }

// Watching says that this node is one of its failure domain's watch holders.
// Views may differ for a while; a watch too many is harmless, and one too few
// is repaired by digest.
func (m *Machine) Watching() bool {
	order := rank(m.candidates, 0)
	at := slices.Index(order, m.cfg.Self)
	return at >= 0 && at < holders
}

// Near is how many nodes of the failure domain the record is spread among, this one
// included.
func (m *Machine) Near() int { return len(m.domain) }

// Base returns the held record that a peer's difference can start from, or the
// zero Record.
func (m *Machine) Base(held Holding) Record {
	if held.Revision == 0 {
		return Record{}
	}
	if m.latest.Holding() == held {
		return m.latest
	}
	for _, base := range m.bases {
		if base.Holding() == held {
			return base
		}
	}
	return Record{}
}

// Previous is the record before the latest, which most peers hold when the
// latest is pushed; the zero Record if there is none.
func (m *Machine) Previous() Record {
	if len(m.bases) == 0 {
		return Record{}
	}
	return m.bases[0]
}

func (m *Machine) setMembers(in Members) {
	m.domain = []string{m.cfg.Self}
	m.candidates = []string{m.cfg.Self}
	m.steady = 0
	m.whole = in.Whole
	for _, n := range in.Nodes {
		if n.Heard && n.Steady {
			m.steady++
		}
		if n.FailureDomain != m.cfg.FailureDomain || !n.Heard {
			continue
		}
		m.domain = append(m.domain, n.Name)
		if n.Steady {
			m.candidates = append(m.candidates, n.Name)
		}
	}
}

// learned takes a record if it is higher than the one held. An older one, from
// a slow peer, a late push or a store's lagging replica, is dropped: taking it
// would revert the environment on this node. The comparison is enough because
// revisions are given out by compare-and-swap.
func (m *Machine) learned(in Learned) Batch {
	if in.Record.Environment != m.cfg.Environment || in.Record.Revision == 0 {
		return Batch{}
	}
	if in.Source == FromStore {
		m.ready = true
	} else if in.Record.Revision > maxRevision {
		return Batch{} // no store has had it
	}
	if in.Record.Revision <= m.latest.Revision {
		return Batch{Conflict: conflicting(in.Record.Holding(), m.latest.Holding())}
	}
	if m.latest.Revision > 0 {
		m.bases = append([]Record{m.latest}, m.bases[:min(len(m.bases), kept-1)]...)
	}
	m.latest = in.Record
	m.settle()
	record := in.Record
	return Batch{Accepted: &record, Push: m.pushTo(in.Source)}
}

func conflicting(a, b Holding) bool {
	return a.Revision == b.Revision && a.Revision > 0 && a.Mark != b.Mark
}

// pushTo lists this node's children in the tree, and for a record from the
// store also the root, which need not hold a watch.
func (m *Machine) pushTo(source Source) []string {
	push := children(m.domain, m.latest.Revision, m.cfg.Self)
	if source != FromStore {
		return push
	}
	top := root(m.domain, m.latest.Revision)
	if top != m.cfg.Self && !slices.Contains(push, top) {
		push = append(slices.Clone(push), top)
	}
	return push
}

// heard compares a peer's record with the one held: the digest repair.
func (m *Machine) heard(in Heard) Batch {
	if in.Holding.Revision > maxRevision {
		return Batch{} // no store has had it
	}
	if !m.ready {
		m.answers[in.Peer] = in.Holding.Revision
		m.settle()
	}
	switch {
	case in.Holding.Revision > m.latest.Revision:
		return Batch{Fetch: in.Peer}
	case in.Holding.Revision == m.latest.Revision:
		return Batch{Conflict: conflicting(in.Holding, m.latest.Holding())}
	case in.Asked:
		return Batch{Push: []string{in.Peer}}
	}
	return Batch{}
}

// settle ends a start without the store. The first answer alone may come from
// a peer that lags; serving its record would revert the environment for this
// node's callers. The highest of several is enough because an accepted record
// is everywhere within seconds, so that all of them would have to lag. After
// a store that answered "none yet", any record is news.
func (m *Machine) settle() {
	if m.ready || m.latest.Revision == 0 {
		return
	}
	if m.storeEmpty || m.enoughAnswers() {
		m.ready = true
	}
}

// enoughAnswers wants startAnswers peers, or all that can be expected to
// answer, and the highest record among them held here. Peers that hold none
// are starting too and neither count nor are waited for.
func (m *Machine) enoughAnswers() bool {
	informed, empty := 0, 0
	for _, revision := range m.answers {
		if revision > m.latest.Revision {
			return false
		}
		if revision == 0 {
			empty++
		} else {
			informed++
		}
	}
	return m.whole && informed > 0 && informed >= min(startAnswers, m.steady-empty)
}

func (m *Machine) pushFailed(in PushFailed) Batch {
	if in.Revision != m.latest.Revision {
		return Batch{}
	}
	return Batch{Push: children(m.domain, in.Revision, in.Peer)}
}
