package drainnotice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// reader returns a machine that has read the list up to a revision.
func reader(revision int64) *Machine {
	m := New(Config{Interval: time.Second})
	m.Step(start, Listed{Revision: revision})
	return m
}

func expect(t *testing.T, m *Machine, now time.Time, want ...Endpoint) {
	t.Helper()
	if got := m.Leaving(now); !slices.Equal(got, want) {
		t.Errorf("leaving: %v, want %v", got, want)
	}
}

// An endpoint left, was replaced and is live again under its name. A message that
// was held up still says that it leaves, and callers would be kept from it. The
// node has read a later revision of the list, or a later notice, and passes over
// the old one.
func TestOldNoticeOverridesNothing(t *testing.T) {
	m := reader(10)
	m.Step(at(1), Heard{[]Notice{{"gpu-1", 20}}})
	expect(t, m, at(1), Endpoint{"gpu-1", false})
	m.Step(at(2), Listed{VMs: []VM{{"gpu-1", 30, false}}, Revision: 30})
	expect(t, m, at(2))
	if batch := m.Step(at(3), Heard{[]Notice{{"gpu-1", 20}, {"gpu-2", 30}}}); batch.Relay || batch.Changed {
		t.Errorf("old notices are passed on: %+v", batch)
	}
	expect(t, m, at(3))
	m.Step(at(4), Heard{[]Notice{{"gpu-1", 40}}})
	expect(t, m, at(4), Endpoint{"gpu-1", false})
	if batch := m.Step(at(5), Heard{[]Notice{{"gpu-1", 40}, {"gpu-1", 35}}}); batch.Changed {
		t.Error("a repeated notice is news")
	}
}

// A peer says of endpoints that they leave which don't: one is live by this
// node's next look at the list, one is of a revision that the store never gave,
// and one VM is on no list. The first is used again at once, the others after
// HintLife, also if the notice comes again meanwhile.
func TestFalseNoticeEnds(t *testing.T) {
	m := reader(10)
	false1 := Heard{[]Notice{{"gpu-1", 20}, {"gpu-2", 1 << 60}, {"gpu-3", 21}}}
	m.Step(at(1), false1)
	m.Step(at(60), Listed{VMs: []VM{{"gpu-1", 9, false}, {"gpu-2", 25, false}}, Revision: 25})
	expect(t, m, at(60), Endpoint{"gpu-2", false}, Endpoint{"gpu-3", false})
	later := at(1).Add(HintLife)
	m.Step(later, false1)
	expect(t, m, later)
}

// The list itself says that an endpoint leaves. No notice changes that; the
// endpoint is used again only once this node has read that it is live, and it
// stays out of use when it has gone from the list.
func TestListOverridesNotices(t *testing.T) {
	m := reader(10)
	if batch := m.Step(at(1), Listed{VMs: []VM{{"gpu-1", 11, true}}, Revision: 11}); !batch.Relay {
		t.Error("what the list says is not passed on at once")
	}
	m.Step(at(2), Heard{[]Notice{{"gpu-1", 1 << 60}}})
	m.Step(at(600), Listed{Revision: 40})
	expect(t, m, at(600), Endpoint{"gpu-1", true})
	m.Step(at(601), Listed{VMs: []VM{{"gpu-1", 50, false}}, Revision: 50})
	expect(t, m, at(601))
}

// Nodes start while many endpoints have left before, and a faulty peer names
// endpoints without end. The start makes no news, the flood is bounded, and one
// message and one interval carry no more than they may.
func TestNoticesAreBounded(t *testing.T) {
	m := New(Config{Interval: time.Second})
	batch := m.Step(start, Listed{VMs: []VM{{"gpu-1", 5, true}}, Revision: 10})
	if batch.Relay || len(m.Take(100, nil)) > 0 {
		t.Error("what the first look found is spread")
	}
	relays := 0
	for i := range 10 * MaxHints {
		n := Notice{fmt.Sprint("gpu-x", i), int64(100 + i)}
		if m.Step(at(1), Heard{[]Notice{n}}).Relay {
			relays++
		}
	}
	if got := len(m.Leaving(at(1))); got != MaxHints+1 {
		t.Errorf("%d endpoints leave, want %d", got, MaxHints+1)
	}
	if got := len(m.Take(100, nil)); got != perMessage || relays != 1 {
		t.Errorf("%d notices in a message, %d relays", got, relays)
	}
	sent := 0
	for got := m.Take(3, nil); len(got) > 0; got = m.Take(3, nil) {
		sent += len(got)
	}
	if limit := MaxHints * transmitFloor; sent > limit {
		t.Errorf("notices were sent %d times, at most %d", sent, limit)
	}
}

// swarm is nodes that exchange as the fleet's do: with one of the peers that each
// keeps in an interval, at its own phase, and with a few more when asked to relay.
// Three of four exchanges are with a peer of the node's failure domain.
type swarm struct {
	nodes     []*Machine
	near, far [][]int
	rng       *rand.Rand
	// relayTo is how many peers a relay goes to.
	relayTo int
	// held is how many notices all nodes hold, relays counts the exchanges that they
	// caused, carried the times that one went over a link.
	held, relays, carried int
	queue                 []hop
}

type hop struct {
	at       time.Time
	from, to int
}

const (
	// These are of package membership.
	nearKept    = 24
	farKept     = 16
	relayFanout = 2

	domains = 23
	hopTime = 10 * time.Millisecond
)

func newSwarm(n, relayTo int, seed uint64) *swarm {
	s := &swarm{rng: rand.New(rand.NewPCG(seed, uint64(n))), relayTo: relayTo}
	for i := range n {
		s.nodes = append(s.nodes, reader(10))
		var near, far []int
		for _, p := range s.rng.Perm(n) {
			switch same := p%domains == i%domains; {
			case p == i:
			case same && len(near) < nearKept:
				near = append(near, p)
			case !same && len(far) < farKept:
				far = append(far, p)
			}
		}
		s.near, s.far = append(s.near, near), append(s.far, far)
	}
	return s
}

func (s *swarm) step(now time.Time, node int, in Input) {
	m := s.nodes[node]
	before := len(m.entries)
	batch := m.Step(now, in)
	s.held += len(m.entries) - before
	if !batch.Relay {
		return
	}
	peers := slices.Concat(s.near[node], s.far[node])
	for _, i := range s.rng.Perm(len(peers))[:min(s.relayTo, len(peers))] {
		s.relays++
		s.queue = append(s.queue, hop{now.Add(hopTime), node, peers[i]})
	}
}

// exchange carries notices both ways.
func (s *swarm) exchange(now time.Time, from, to int) {
	asked := s.nodes[from].Take(len(s.nodes), nil)
	s.step(now, to, Heard{asked})
	answer := s.nodes[to].Take(len(s.nodes), asked)
	s.step(now, from, Heard{answer})
	s.carried += len(asked) + len(answer)
}

// spread lets one node read that endpoints leave, and returns when the last one
// knows of all; it plays on until they are spread no more.
func (s *swarm) spread(leave int, limit time.Duration) time.Duration {
	n := len(s.nodes)
	list := Listed{Revision: 20}
	for i := range leave {
		list.VMs = append(list.VMs, VM{fmt.Sprint("gpu-", i), 20, true})
	}
	s.step(start, 0, list)
	last := time.Duration(0)
	for ms := 0; time.Duration(ms)*time.Millisecond < limit; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		due := s.queue
		s.queue = nil
		for _, h := range due {
			if h.at.After(now) {
				s.queue = append(s.queue, h)
				continue
			}
			s.exchange(now, h.from, h.to)
		}
		for node := ms / 10 % 100; node < n; node += 100 {
			ring := s.near[node]
			if len(ring) == 0 || (ms/1000+node)%4 == 1 {
				ring = s.far[node]
			}
			s.exchange(now, node, ring[ms/1000%len(ring)])
		}
		if s.held == n*leave && last == 0 {
			last = now.Sub(start)
		}
	}
	return last
}

// The platform says that an endpoint leaves, or a whole rack, and one node of 2,200
// reads it. All others must know within three seconds, though each looks at the list
// only every 110 s; what a notice costs a node must not grow with the fleet but for
// the doubling of its repeats. Without the relay the last node takes seven seconds.
func TestNoticeReachesAll(t *testing.T) {
	for _, c := range []struct{ nodes, leave, relayTo int }{
		{3, 1, relayFanout}, {10, 1, relayFanout}, {41, 1, relayFanout}, {100, 1, relayFanout},
		{2200, 1, relayFanout}, {2200, 40, relayFanout}, {2200, 1, 0}, {2200, 1, 3},
	} {
		const seeds = 2
		slowest, relays, carried := time.Duration(0), 0, 0
		for seed := range uint64(seeds) {
			s := newSwarm(c.nodes, c.relayTo, seed)
			slowest = max(slowest, s.spread(c.leave, 40*time.Second))
			if s.held != c.nodes*c.leave {
				t.Fatalf("%+v: %d notices are held", c, s.held)
			}
			relays += s.relays
			carried += s.carried
		}
		t.Logf("%4d nodes, %2d leave, relayed to %d: last node after %4d ms, %.1f relays and %.1f notices a node",
			c.nodes, c.leave, c.relayTo, slowest.Milliseconds(), float64(relays)/float64(c.nodes*seeds), float64(carried)/float64(c.nodes*seeds))
		if c.relayTo == relayFanout && slowest > 3*time.Second {
			t.Errorf("%+v: the last one knows after %v", c, slowest)
		}
	}
}
