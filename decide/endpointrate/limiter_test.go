package endpointrate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	replica = "i-1"
	// window, tolerance and slack are the platform's bound: in any window, at most tolerance
	// times what the limit allows, and slack requests more.
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
	tick      = 50 * time.Millisecond
)

func fleetNodes(from, to int) []Node {
	var list []Node
	for i := from; i < to; i++ {
		list = append(list, Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%3)})
	}
	return list
}

// testFleet is a fleet of nodes that all know a limit.
type testFleet struct {
	nodes    []Node
	limiters map[string]*Limiter
	limit    float64
	sentAt   []time.Time
}

func newTestFleet(nodes []Node, limit float64) *testFleet {
	f := &testFleet{nodes: nodes, limiters: map[string]*Limiter{}, limit: limit}
	for i, n := range nodes {
		l := New(n, uint64(i))
		l.SetReplicas(map[string]string{replica: "d0"})
		l.SetNodes(start, nodes)
		l.Observe(start, Statement{Replica: replica, Limited: true, RequestsPerSecond: limit})
		f.limiters[n.Name] = l
	}
	return f
}

// sendAll lets each node send as often as it may at this time.
func (f *testFleet) sendAll(now time.Time) {
	for _, n := range f.nodes {
		l := f.limiters[n.Name]
		for l.MaySend(now, replica) {
			l.Sent(now, replica)
			f.sentAt = append(f.sentAt, now)
		}
	}
}

// mostInWindow returns the largest number of requests in any window.
func (f *testFleet) mostInWindow() int {
	most, first := 0, 0
	for i, at := range f.sentAt {
		for at.Sub(f.sentAt[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *testFleet) allowed() float64 { return tolerance*f.limit*window.Seconds() + slack }

// Guards against a replica in need that gets several times its limit, because each node of
// a fleet keeps to the limit on its own. All nodes have more requests than they may send.
func TestSumKeepsToLimit(t *testing.T) {
	for _, c := range []struct {
		nodes   int
		limit   float64
		seconds int
	}{
		{1, 4.2, 60}, {3, 0.3, 120}, {9, 4.2, 60}, {9, 0.1, 120}, {9, 100, 30}, {88, 4.2, 60}, {88, 1, 60}, {2200, 4.2, 20}, {88, 0, 60}, {2200, 60, 20},
	} {
		f := newTestFleet(fleetNodes(0, c.nodes), c.limit)
		for at := time.Duration(0); at < time.Duration(c.seconds)*time.Second; at += tick {
			f.sendAll(start.Add(at))
		}
		if most := f.mostInWindow(); float64(most) > f.allowed() {
			t.Errorf("%d nodes, limit %v: %d requests in %v, allowed %v", c.nodes, c.limit, most, window, f.allowed())
		}
		used := float64(len(f.sentAt)) / float64(c.seconds)
		if want := c.limit * 0.5; c.limit >= 1 && used < want {
			t.Errorf("%d nodes, limit %v: only %.2f requests per second are sent, want %.2f or more", c.nodes, c.limit, used, want)
		}
	}
}

// Guards against a burst when nodes come and go: the lists of two nodes differ for up to two
// seconds, so that former and new senders both count themselves as one.
func TestSumKeepsToLimitWhileNodesComeAndGo(t *testing.T) {
	for _, limit := range []float64{0.5, 4.2, 20} {
		random := rand.New(rand.NewPCG(1, uint64(limit*10)))
		f := newTestFleet(fleetNodes(0, 40), limit)
		known := map[string][]Node{}
		for _, n := range f.nodes {
			known[n.Name] = f.nodes
		}
		listed := append([]Node(nil), f.nodes...)
		for step := range 60 * 20 {
			now := start.Add(time.Duration(step) * tick)
			if step%20 == 0 {
				listed = append([]Node(nil), f.nodes...)
				for range random.IntN(4) {
					listed = append(listed[:0:0], listed[random.IntN(2):]...)
				}
			}
			n := f.nodes[random.IntN(len(f.nodes))]
			known[n.Name] = listed
			f.limiters[n.Name].SetNodes(now, known[n.Name])
			f.sendAll(now)
		}
		if most := f.mostInWindow(); float64(most) > f.allowed() {
			t.Errorf("limit %v: %d requests in %v, allowed %v", limit, most, window, f.allowed())
		}
	}
}

// Guards against nodes that save up probes while nobody asks for the replica, and then all
// send in the same second.
func TestIdleNodesDoNotSaveProbes(t *testing.T) {
	f := newTestFleet(fleetNodes(0, 2200), 4.2)
	f.sendAll(start.Add(time.Hour))
	if got := len(f.sentAt); float64(got) > f.allowed() {
		t.Errorf("%d requests at once after an idle hour, allowed %v", got, f.allowed())
	}
}

// Guards against a limit that never ends at nodes that hardly send: each node sends a probe
// within a few of its periods.
func TestEveryNodeProbes(t *testing.T) {
	f := newTestFleet(fleetNodes(0, 9), 4.2)
	sent := map[string]bool{}
	for at := time.Duration(0); at < time.Minute; at += tick {
		now := start.Add(at)
		for name, l := range f.limiters {
			if l.MaySend(now, replica) {
				l.Sent(now, replica)
				sent[name] = true
			}
		}
	}
	if len(sent) != 9 {
		t.Errorf("%d of 9 nodes have sent a request within a minute", len(sent))
	}
}

// Guards against requests that wait in vain: the time that is named is one at which the node
// may send.
func TestNextSendAt(t *testing.T) {
	f := newTestFleet(fleetNodes(0, 9), 4.2)
	for name, l := range f.limiters {
		at := l.NextSendAt(start, replica)
		if !at.After(start) || !l.MaySend(at, replica) {
			t.Errorf("%s may send after %v: %v", name, at.Sub(start), l.MaySend(at, replica))
		}
		if got := l.NextSendAt(start, "unlimited"); got != start {
			t.Errorf("%s may send to a replica without a limit after %v", name, got.Sub(start))
		}
	}
}

// Statements arrive in any order, from the replica's answers and from other nodes.
func TestNewestStatementCounts(t *testing.T) {
	limited := Statement{Replica: replica, Limited: true, RequestsPerSecond: 2}
	older := limited
	older.Age = 5 * time.Second
	tooOld := limited
	tooOld.Age = 2 * ValidFor
	ended := Statement{Replica: replica}
	other := limited
	other.Replica = "unlisted"
	for _, c := range []struct {
		name  string
		given func(l *Limiter)
		want  bool // that the replica is limited
	}{
		{"none", func(*Limiter) {}, false},
		{"own", func(l *Limiter) { l.Observe(start, limited) }, true},
		{"a peer's", func(l *Limiter) { l.Observe(start, older) }, true},
		{"a peer's that is too old", func(l *Limiter) { l.Observe(start, tooOld) }, false},
		{"of an unlisted replica", func(l *Limiter) { l.Observe(start, other) }, false},
		{"ended", func(l *Limiter) { l.Observe(start, limited); l.Observe(start, ended) }, false},
		{"ended, then a peer's older one", func(l *Limiter) { l.Observe(start, limited); l.Observe(start, ended); l.Observe(start, older) }, false},
		{"a newer one says that it ended", func(l *Limiter) { l.Observe(start.Add(-time.Second), limited); l.Observe(start, ended) }, false},
		{"the replica is no longer listed", func(l *Limiter) { l.Observe(start, limited); l.SetReplicas(map[string]string{"i-2": "d0"}) }, false},
	} {
		l := New(Node{"n0", "d0"}, 1)
		l.SetReplicas(map[string]string{replica: "d0", "i-2": "d0"})
		l.SetNodes(start, fleetNodes(0, 3))
		c.given(l)
		if got := len(l.Limits(start)) > 0; got != c.want {
			t.Errorf("%s: limited %v, want %v", c.name, got, c.want)
		}
		if got := !l.MaySend(start, replica); got != c.want {
			t.Errorf("%s: blocked %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against saved requests that are sent at once when a replica states a limit again.
func TestLimitStartsWithoutSavedRequests(t *testing.T) {
	l := New(Node{"n0", "d0"}, 1)
	l.SetReplicas(map[string]string{replica: "d0"})
	limited := Statement{Replica: replica, Limited: true, RequestsPerSecond: 2}
	l.Observe(start, limited)
	l.Observe(start.Add(time.Second), Statement{Replica: replica})
	again := start.Add(time.Minute)
	l.Observe(again, limited)
	if l.MaySend(again, replica) {
		t.Error("a request is allowed at the moment at which the limit begins again")
	}
}

// Guards against statements that are passed from node to node for ever: they keep their age,
// and are not passed on once they are old. The limit itself stays in force.
func TestPassedOnStatementsGrowOld(t *testing.T) {
	l := New(Node{"n0", "d0"}, 1)
	l.SetReplicas(map[string]string{replica: "d0"})
	l.Observe(start, Statement{Replica: replica, Limited: true, RequestsPerSecond: 3, Age: 2 * time.Second})
	list := l.Statements(start.Add(time.Second))
	if len(list) != 1 || list[0].Replica != replica || list[0].Age != 3*time.Second {
		t.Errorf("%+v", list)
	}
	later := start.Add(ValidFor - 2*time.Second)
	if list := l.Statements(later); len(list) != 0 {
		t.Errorf("%+v", list)
	}
	if len(l.Limits(later)) != 1 {
		t.Error("the limit ended although the replica has not said so")
	}
}
