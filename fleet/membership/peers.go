package membership

import (
	"slices"
	"time"
)

const (
	// turns is the cycle of a node's exchanges: near ones mostly, since nodes
	// of a failure domain cost least to reach and detect each other's death;
	// one far and one concerned with the same teams in each cycle.
	turns         = 4
	farTurn       = 1
	concernedTurn = 3
	// fewConcerned peers can all be met on the concerned turn while a loan lasts,
	// someConcerned with one of the near turns besides, and more with both.
	fewConcerned  = 2
	someConcerned = 9
	// lostEvery ticks, a member that is gone but still listed is tried in
	// addition: this is how the halves of a partition find each other again.
	lostEvery = 10
	// nearKept and farKept peers are exchanged with round by round, and a few of
	// them change with each. Connections to them stay open from one round to
	// the next; with a new peer each time, a large fleet would spend more bytes
	// on opening connections, TLS above all, than on what they carry.
	nearKept = 24
	farKept  = 16
	// renewed is the part of the kept peers that a round replaces: one in so
	// many. At 2,200 nodes this is a new connection in 16 s.
	renewed = 12
)

// concernedFrom is the least number of concerned peers for which a turn is theirs.
var concernedFrom = [turns]int{0: fewConcerned + 1, 2: someConcerned + 1, concernedTurn: 1}

// ring walks through the peers of one kind. Every peer is kept at some time,
// so all are reached.
type ring struct {
	// size is how many peers are kept; zero: all.
	size int
	// round holds those of the kept peers that are still to come.
	round []string
	kept  []string
	// waiting holds the peers that have not been kept yet, in the order in
	// which they will be.
	waiting []string
}

// peers chooses whom to exchange with.
type peers struct {
	tick int
	near ring
	far  ring
	lost ring
	// retry holds peers whose last exchange failed once.
	retry []string
}

// next returns the peers of one tick: as a rule one, a second one every
// lostEvery ticks.
func (p *peers) next(m *Machine, now time.Time) []string {
	p.tick++
	chosen := p.regular(m, now)
	if p.tick%lostEvery == 0 {
		if name := p.pop(&p.lost, m, now, isLost); name != "" {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

func (p *peers) regular(m *Machine, now time.Time) []string {
	if len(p.retry) > 0 {
		name := p.retry[0]
		p.retry = p.retry[1:]
		return []string{name}
	}
	turn := p.tick % turns
	if name := nextConcerned(m, turn); name != "" {
		return []string{name}
	}
	first, second := &p.near, &p.far
	firstKind, secondKind := m.isNear(now), m.isFar(now)
	if turn == farTurn {
		first, second = second, first
		firstKind, secondKind = secondKind, firstKind
	}
	if name := p.pop(first, m, now, firstKind); name != "" {
		return []string{name}
	}
	if name := p.pop(second, m, now, secondKind); name != "" {
		return []string{name}
	}
	return nil
}

type kind func(*entry) bool

func isLost(e *entry) bool { return e.State == Gone && e.listed }

func (m *Machine) isNear(now time.Time) kind {
	return func(e *entry) bool {
		return m.reachable(e, now) && e.FailureDomain == m.cfg.Self.FailureDomain
	}
}

func (m *Machine) isFar(now time.Time) kind {
	return func(e *entry) bool {
		return m.reachable(e, now) && e.FailureDomain != m.cfg.Self.FailureDomain
	}
}

func (m *Machine) reachable(e *entry, now time.Time) bool {
	return e.Name != m.cfg.Self.Name && e.State != Gone && !now.Before(e.retryAfter)
}

// pop takes the next name of a ring that is still of its kind, and begins a
// new round, once, when the last one has run out.
func (p *peers) pop(r *ring, m *Machine, now time.Time, fits kind) string {
	for range 2 {
		for len(r.round) > 0 {
			name := r.round[0]
			r.round = r.round[1:]
			if e := m.entries[name]; e != nil && fits(e) {
				return name
			}
		}
		r.begin(m, fits)
	}
	return ""
}

// begin starts a round: peers that no longer fit and a part of the others make
// room for those that wait.
func (r *ring) begin(m *Machine, fits kind) {
	if r.size == 0 {
		r.round = m.shuffled(fits)
		return
	}
	r.kept = slices.DeleteFunc(r.kept, func(name string) bool {
		e := m.entries[name]
		return e == nil || !fits(e)
	})
	leave := max(0, len(r.kept)-r.size+r.size/renewed)
	r.kept = r.kept[leave:]
	r.fill(m, fits)
	r.round = slices.Clone(r.kept)
}

// fill takes waiting peers in, and calls up all peers once none waits.
func (r *ring) fill(m *Machine, fits kind) {
	for range 2 {
		for len(r.kept) < r.size && len(r.waiting) > 0 {
			name := r.waiting[0]
			r.waiting = r.waiting[1:]
			if e := m.entries[name]; e != nil && fits(e) && !slices.Contains(r.kept, name) {
				r.kept = append(r.kept, name)
			}
		}
		if len(r.kept) == r.size {
			return
		}
		r.waiting = m.shuffled(fits)
	}
}

func (m *Machine) shuffled(fits kind) []string {
	var names []string
	for name, e := range m.entries {
		if fits(e) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// nextConcerned returns the most urgent peer for a team's limit, if it is its turn:
// one in four, and one or both of the near turns too with more to meet. Without
// that, loans of a team with 37 homes run out before the lender's turn comes again.
// The near peers are then left more to each other's exchanges: with nine nodes that
// all lack something, a dead one is suspected after 4.2 intervals in place of 2.9,
// and with both near turns after 5.6.
func nextConcerned(m *Machine, turn int) string {
	if m.cfg.Concerned == nil || turn == farTurn {
		return ""
	}
	names := m.cfg.Concerned()
	if len(names) < concernedFrom[turn] {
		return ""
	}
	for _, name := range names {
		if e := m.entries[name]; e != nil && e.Name != m.cfg.Self.Name && e.State != Gone {
			return name
		}
	}
	return ""
}

// randomKept returns up to n of the kept peers, near and far.
func (p *peers) randomKept(m *Machine, n int) []string {
	names := slices.Concat(p.near.kept, p.far.kept)
	names = slices.DeleteFunc(names, func(name string) bool {
		e := m.entries[name]
		return e == nil || e.State == Gone || e.Incarnation == 0
	})
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// random returns up to n peers that were heard of.
func (p *peers) random(m *Machine, n int) []string {
	names := m.shuffled(func(e *entry) bool {
		return e.Name != m.cfg.Self.Name && e.Incarnation > 0 && e.State != Gone
	})
	return names[:min(n, len(names))]
}
