package member

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
	// lostEvery ticks, a member that is gone but still listed is tried in
	// addition: this is how the halves of a partition find each other again.
	lostEvery = 10
)

// peers chooses whom to exchange with. Rings are walked to their end before
// they are built anew, so every peer is reached within one round.
type peers struct {
	tick      int
	near      []string
	far       []string
	lost      []string
	concerned int
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
	if turn == concernedTurn {
		if name := p.nextConcerned(m); name != "" {
			return []string{name}
		}
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

// pop takes the next name of a ring that is still of its kind, and builds the
// ring anew, once, when it has run out.
func (p *peers) pop(ring *[]string, m *Machine, now time.Time, fits kind) string {
	for range 2 {
		for len(*ring) > 0 {
			name := (*ring)[0]
			*ring = (*ring)[1:]
			if e := m.entries[name]; e != nil && fits(e) {
				return name
			}
		}
		*ring = m.shuffled(fits)
	}
	return ""
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

func (p *peers) nextConcerned(m *Machine) string {
	if m.cfg.Concerned == nil {
		return ""
	}
	names := m.cfg.Concerned()
	for range names {
		p.concerned++
		name := names[p.concerned%len(names)]
		if e := m.entries[name]; e != nil && e.Name != m.cfg.Self.Name && e.State != Gone {
			return name
		}
	}
	return ""
}

// random returns up to n peers that were heard of.
func (p *peers) random(m *Machine, n int) []string {
	names := m.shuffled(func(e *entry) bool {
		return e.Name != m.cfg.Self.Name && e.Incarnation > 0 && e.State != Gone
	})
	return names[:min(n, len(names))]
}
