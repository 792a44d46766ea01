package membership

import (
	"fmt"
	"testing"
	"time"
)

const interval = time.Second

// sim runs machines on one clock over a network that can lose and cut.
type sim struct {
	seed     uint64
	t        testing.TB
	now      time.Time
	names    []string
	machines map[string]*Machine
	down     map[string]bool
	// refuses says that the VMs of nodes that are down answer that nobody listens.
	refuses bool
	// lost says whether a message between two nodes is lost.
	lost func(from, to string) bool
	vms  []VM
	// watch is called with every change on every node.
	watch func(node string, c Change)
	// messages, biggest and sent count what was sent, in bytes of news.
	messages, biggest, sent int
	// tables counts whole views asked for.
	tables   int
	contacts map[string]int
	// contact is called with every exchange.
	contact func(from, to string)
}

func newSim(t testing.TB, n, domains int) *sim { return newSeededSim(t, n, domains, 0) }

// newSeededSim has the nodes try their peers in another order for each seed.
func newSeededSim(t testing.TB, n, domains int, seed uint64) *sim {
	s := &sim{
		seed: seed,
		t:    t, now: time.Unix(1_800_000_000, 0), machines: map[string]*Machine{}, down: map[string]bool{},
		lost:  func(string, string) bool { return false },
		watch: func(string, Change) {}, contacts: map[string]int{}, contact: func(string, string) {},
	}
	for i := range n {
		s.add(nodeName(i), fmt.Sprintf("fd-%d", i%domains))
	}
	return s
}

func nodeName(i int) string { return fmt.Sprintf("vm-%04d", i) }

// add lists a VM and starts it.
func (s *sim) add(name, domain string) {
	s.names = append(s.names, name)
	s.vms = append(s.vms, VM{Name: name, Address: name + ":7401", FailureDomain: domain})
	s.start(name, domain, s.now.UnixMilli())
	for _, other := range s.names {
		s.step(other, Listed{VMs: s.vms})
	}
}

func (s *sim) start(name, domain string, incarnation int64) {
	self := Member{Name: name, Address: name + ":7401", CallerAddress: name + ":8080", FailureDomain: domain, Incarnation: incarnation}
	s.machines[name] = New(Config{Self: self, Interval: interval, Seed: uint64(len(s.names)) + uint64(incarnation) + s.seed*7919}, s.now)
	s.down[name] = false
	s.step(name, Listed{VMs: s.vms})
	s.step(name, Serve{})
}

// step gives one input and carries out what follows from it.
func (s *sim) step(name string, in Input) Batch {
	if s.down[name] {
		return Batch{}
	}
	batch := s.machines[name].Step(s.now, in)
	for _, c := range batch.Changes {
		s.watch(name, c)
	}
	for _, send := range batch.Sends {
		s.deliver(name, send)
	}
	return batch
}

func (s *sim) deliver(from string, send Send) {
	to := send.To.Name
	s.contacts[from+">"+to]++
	s.contact(from, to)
	s.count(send.Message)
	if send.Message.WantTable {
		s.tables++
	}
	if s.machines[to] == nil || s.down[to] || s.lost(from, to) {
		s.step(from, Failed{Peer: to, Refused: s.refuses && s.down[to]})
		return
	}
	reply := s.step(to, Received{Message: send.Message}).Reply
	s.count(*reply)
	if s.lost(to, from) {
		s.step(from, Failed{Peer: to})
		return
	}
	s.step(from, Answered{Message: *reply, AskedTable: send.Message.WantTable})
}

func (s *sim) count(m Message) {
	size := 0
	for _, u := range m.Updates {
		size += encodedSize(u)
	}
	s.messages++
	s.sent += size
	s.biggest = max(s.biggest, size)
}

func (s *sim) tick() {
	s.now = s.now.Add(interval)
	for _, name := range s.names {
		s.step(name, Tick{})
	}
}

// until ticks until holds, and returns after how many.
func (s *sim) until(what string, limit int, holds func() bool) int {
	s.t.Helper()
	for n := range limit + 1 {
		if holds() {
			return n
		}
		s.tick()
	}
	s.t.Fatalf("not within %d intervals: %s", limit, what)
	return 0
}

// all says whether every node that is up holds name in a state.
func (s *sim) all(name string, state State) bool {
	for _, node := range s.names {
		if s.down[node] {
			continue
		}
		if u, ok := s.machines[node].Member(name); !ok || u.State != state {
			return false
		}
	}
	return true
}

// liveOnAny says whether any node that is up takes the member for live.
func (s *sim) liveOnAny(name string) bool {
	for _, node := range s.names {
		if s.down[node] {
			continue
		}
		if u, ok := s.machines[node].Member(name); ok && u.State == Live {
			return true
		}
	}
	return false
}

func (s *sim) allLive() bool {
	for _, name := range s.names {
		if !s.down[name] && !s.all(name, Live) {
			return false
		}
	}
	return true
}

func (s *sim) settled() *sim {
	s.until("all live", 200, s.allLive)
	return s
}
