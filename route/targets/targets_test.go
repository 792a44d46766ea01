package targets

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

var llm = &ruleset.Model{
	Layers: 8, LayerMB: 100, TokenLayerBytes: 1000, StepMillis: 1,
	Cards: map[string]ruleset.Card{"l4": {MemoryMB: 500, Pace: 1}},
}

func part(id string, from, to int) *replicalist.Replica {
	return &replicalist.Replica{ID: id, Address: id, Domain: "d", Kind: "l4", Holds: layers.Span{From: from, To: to}}
}

// all is the part of a node that is alone.
func all(conns int) Part {
	return Part{Share: func(string) float64 { return 1 }, Conns: conns, Near: 1}
}

// halves is a model whose two halves are held twice each. A half has room for 25,000
// tokens: 100 MB beside four layers, at 4,000 bytes a token.
func halves() *Model {
	m := NewModel("d", 1, time.Now)
	m.Update(llm, []*replicalist.Replica{part("a1", 0, 4), part("a2", 0, 4), part("b1", 4, 8), part("b2", 4, 8)},
		all(10))
	return m
}

func take(t *testing.T, m *Model, tokens float64) Target {
	t.Helper()
	target, err := m.Choose(context.Background(), Query{Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// Two streams fill the model. The next caller waits, and goes on as soon as one of
// them ends; one who can't wait is told at once.
func TestRoomIsWaitedFor(t *testing.T) {
	m := halves()
	first := take(t, m, 25000)
	take(t, m, 25000)
	if _, err := m.Choose(context.Background(), Query{Tokens: 25000}); !errors.Is(err, ErrNoRoom) {
		t.Fatalf("%v", err)
	}
	got := make(chan error)
	go func() {
		_, err := m.Choose(context.Background(), Query{Tokens: 25000, WaitUntil: time.Now().Add(time.Minute)})
		got <- err
	}()
	for waiting, _ := m.Waiting(); waiting == 0; waiting, _ = m.Waiting() {
		time.Sleep(time.Millisecond)
	}
	m.Ended(first, Result{Whole: true})
	if err := <-got; err != nil {
		t.Error(err)
	}
}

// One waits for room, and a second comes for whom there would be some: it does not go
// before the first if that is of its rank, and does if that is of a lower one.
func TestNewcomersDoNotOvertake(t *testing.T) {
	for _, c := range []struct {
		rank  int
		waits bool
	}{{1, true}, {0, false}} {
		m := halves()
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			// 50,000 tokens never fit.
			_, _ = m.Choose(ctx, Query{Tokens: 50000, Rank: 1, WaitUntil: time.Now().Add(time.Minute)})
		}()
		for waiting, _ := m.Waiting(); waiting == 0; waiting, _ = m.Waiting() {
			time.Sleep(time.Millisecond)
		}
		_, err := m.Choose(context.Background(), Query{Tokens: 100, Rank: c.rank})
		if errors.Is(err, ErrNoRoom) != c.waits {
			t.Errorf("rank %d: %v", c.rank, err)
		}
		cancel()
		<-gone
		if waiting, _ := m.Waiting(); waiting != 0 || len(m.wakes) != 0 {
			t.Errorf("%d wait, %d channels are left", waiting, len(m.wakes))
		}
	}
}

// A replica is found lost by one request. All others through it are told at once, so
// that they need not find out for themselves; those elsewhere are not.
func TestLossIsToldToAllThatRunThroughIt(t *testing.T) {
	m := halves()
	told := make(chan string, 20)
	through := 0
	for i := range 10 {
		target := take(t, m, 100)
		for _, p := range target.Path {
			if p.Replica == "b1" {
				through++
			}
		}
		target.Flight.Watch(func(replica string) { told <- fmt.Sprint(i, replica) }, func(string) {})
	}
	if !m.Suspect("b1", false) || m.Suspect("b1", false) {
		t.Error("only the first sign is news")
	}
	for range through {
		<-told
	}
	select {
	case extra := <-told:
		t.Errorf("told in vain: %s", extra)
	default:
	}
	for range 20 {
		for _, p := range take(t, m, 100).Path {
			if p.Replica == "b1" {
				t.Fatal("a new request goes through the lost replica")
			}
		}
	}
	if !m.Alive("b1") || len(m.Suspects()) != 0 {
		t.Error("it does not come back")
	}
}

// A request is led around a lost part: the first part stays, the rest is chosen anew,
// and what is booked follows.
func TestDetour(t *testing.T) {
	m := halves()
	target := take(t, m, 100)
	lost := target.Path[1].Replica
	m.Suspect(lost, false)
	path := target.Flight.Away()
	if len(path) != 2 || path[0] != target.Path[0] || path[1].Replica == lost {
		t.Fatalf("%v around %s", path, lost)
	}
	target.Flight.Moved(path)
	m.Ended(target, Result{Whole: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	if booked := m.book.Booked(); len(booked) > 0 {
		t.Errorf("still booked: %v", booked)
	}
}

// A first replica looks dead. Its request is given up only if another can take it now:
// it may yet go on, and given up for nothing its answer is lost.
func TestElsewhere(t *testing.T) {
	m := halves()
	target := take(t, m, 20000)
	next, ok := target.Flight.Elsewhere(Others{})
	if !ok || next.Replica == target.Replica {
		t.Fatalf("%v, %t: the other half is free", next, ok)
	}
	if _, ok := target.Flight.Elsewhere(Others{}); ok {
		t.Error("the other half is booked, and given to two")
	}
	m.Ended(next, Result{Failure: health.Canceled})
	if _, ok := target.Flight.Elsewhere(Others{Exclude: []string{next.Replica}}); ok {
		t.Error("the other half has failed this request")
	}
	other := map[string]string{"a1": "a2", "a2": "a1"}[target.Replica]
	m.Suspect(other, false)
	if _, ok := target.Flight.Elsewhere(Others{}); ok {
		t.Error("the only other first replica is out of reach")
	}
}

// Those that run through a replica that leaves are told once each time the list says
// so, while they still do.
func TestLeavingIsTold(t *testing.T) {
	m := halves()
	target := take(t, m, 100)
	told := make(chan string, 4)
	target.Flight.Watch(func(string) {}, func(replica string) { told <- replica })
	leaving := target.Path[1].Replica
	list := []*replicalist.Replica{part("a1", 0, 4), part("a2", 0, 4), part("b1", 4, 8), part("b2", 4, 8)}
	for _, r := range list {
		r.Draining = r.ID == leaving
	}
	update := func() { m.Update(llm, list, all(10)) }
	update()
	if got := <-told; got != leaving {
		t.Errorf("told of %s", got)
	}
	update()
	target.Flight.StillLeaving()
	update()
	if got := <-told; got != leaving {
		t.Errorf("told of %s", got)
	}
	if len(told) != 0 {
		t.Error("told again without having come back")
	}
}

// A replica leaves without saying so: its entry is gone from the list, and it serves on.
// Its streams are led away in time; told that it is lost, all would cross the links at
// once and pause for a second.
func TestReplicaThatIsNoLongerListedLeaves(t *testing.T) {
	m := halves()
	target := take(t, m, 100)
	told := make(chan string, 4)
	target.Flight.Watch(func(replica string) { t.Errorf("%s counts as lost", replica) }, func(replica string) { told <- replica })
	left := target.Path[1].Replica
	var list []*replicalist.Replica
	for _, r := range []*replicalist.Replica{part("a1", 0, 4), part("a2", 0, 4), part("b1", 4, 8), part("b2", 4, 8)} {
		if r.ID != left {
			list = append(list, r)
		}
	}
	m.Update(llm, list, all(10))
	if got := <-told; got != left {
		t.Errorf("told of %s", got)
	}
}

// The only holder of some layers of a failure domain dies under six streams. Led around
// through the other domain, each would send its prompt over the links, one behind the
// other: the first two may, the others go on whole in the other domain.
func TestStreamsGoOnElsewhereWhenLinksAreBusy(t *testing.T) {
	far := func(id string, from, to int) *replicalist.Replica {
		r := part(id, from, to)
		r.Domain = "far"
		return r
	}
	crossing := *llm
	// A stream of 1,000 tokens takes 50 ms to cross.
	crossing.CrossBytes, crossing.LinkBytesPerSecond = 1000, 2e7
	m := NewModel("d", 1, time.Now)
	list := []*replicalist.Replica{part("a", 0, 4), part("b", 4, 8), far("x", 0, 4), far("y", 4, 8)}
	m.Update(&crossing, list, all(10))
	var flights []Target
	for range 6 {
		flights = append(flights, take(t, m, 1000))
	}
	m.Suspect("b", false)
	var ways []reroute.Way
	for _, target := range flights {
		way, path, next := target.Flight.GoOn(true, 120*time.Millisecond, Others{})
		ways = append(ways, way)
		if way == reroute.Around {
			if path == nil {
				t.Error("no path")
			}
			continue
		}
		if next.Replica != "x" || next.Domain != "far" {
			t.Errorf("it goes on at %+v", next)
		}
	}
	want := []reroute.Way{reroute.Around, reroute.Around, reroute.Elsewhere, reroute.Elsewhere, reroute.Elsewhere, reroute.Elsewhere}
	if !slices.Equal(ways, want) {
		t.Errorf("%v, want %v", ways, want)
	}
	if way, path, _ := flights[1].Flight.GoOn(false, 120*time.Millisecond, Others{}); way != reroute.Around || path == nil {
		t.Errorf("one that may not be moved: %v %v", way, path)
	}
}

// Guards against a connection to each part of a path whenever one of many streams goes
// silent: the parts through which another stream has just had an event live. One that was
// led elsewhere since says nothing of its new parts.
func TestPartsThatOthersHear(t *testing.T) {
	now := time.Now()
	m := NewModel("d", 1, func() time.Time { return now })
	m.Update(llm, []*replicalist.Replica{part("a1", 0, 4), part("b1", 4, 8), part("b2", 4, 8)}, all(10))
	silent, other := take(t, m, 10), take(t, m, 10)
	ids := func(within time.Duration) string {
		text := ""
		for _, p := range silent.Flight.Unheard(within) {
			text += p.Replica + " "
		}
		return text
	}
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Fatalf("before any event: %s", got)
	}
	now = now.Add(time.Second)
	silent.Flight.Heard()
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Errorf("its own events count: %s", got)
	}
	other.Flight.Heard()
	now = now.Add(20 * time.Millisecond)
	got := ids(30 * time.Millisecond)
	shared := other.Path[1].Replica == silent.Path[1].Replica
	if shared && got != "" || !shared && got != silent.Path[1].Replica+" " {
		t.Errorf("the other runs along %v, this one along %v, doubted: %s", other.Path, silent.Path, got)
	}
	if got := ids(10 * time.Millisecond); len(got) != len("a1 b1 ") {
		t.Errorf("what was heard long ago counts: %s", got)
	}
	other.Flight.Moved(other.Path)
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Errorf("what was heard along another path counts: %s", got)
	}
}

// Three nodes have lost a replica. A fourth takes their word and sends it nothing new, but
// does not pass that on as its own view until it has tried for itself: a rumor that is
// passed on would keep itself alive.
func TestWordOfOthersIsNotPassedOn(t *testing.T) {
	m := halves()
	claims := []peerreports.Observation{{Replica: "a1", Unreachable: true, Nodes: peerreports.Quorum}, {Replica: "b1", Slowdown: 5, Nodes: peerreports.Quorum}}
	near := []string{"n1", "n2", "n3", "n4", "n5"}
	verdict := m.Judge("n4", near, claims)
	if len(verdict.Accept) != 2 || len(m.Suspects()) != 1 || !m.Followed("b1") || len(m.Slow()) != 1 {
		t.Fatalf("%+v", verdict)
	}
	if seen := m.Seen(); len(seen) != 0 {
		t.Errorf("passed on: %+v", seen)
	}
	if target := take(t, m, 10); target.Replica != "a2" {
		t.Errorf("sent to %s", target.Replica)
	}
	m.StillLost("a1")
	if seen := m.Seen(); len(seen) != 1 || seen[0].Replica != "a1" || seen[0].Nodes != 1 {
		t.Errorf("tried in vain: %+v", seen)
	}
	m.Alive("a1")
	if seen := m.Seen(); len(seen) != 0 || len(m.Suspects()) != 0 {
		t.Errorf("reached again: %+v", seen)
	}
	claims[0].Age = 400 * time.Millisecond
	if m.Judge("n4", near, claims[:1]); len(m.Suspects()) != 0 {
		t.Error("an older word of others goes before what was seen since")
	}
}

// Guards against a node that asks the same replica at each exchange while one other node
// goes on claiming that it is lost.
func TestLooksOnTheWordOfOthersAreBounded(t *testing.T) {
	now := time.Now()
	m := NewModel("d", 1, func() time.Time { return now })
	m.Update(llm, []*replicalist.Replica{part("a1", 0, 4), part("b1", 4, 8)}, all(10))
	looks := 0
	for range 20 {
		looks += len(m.Judge("n1", []string{"n1"}, []peerreports.Observation{{Replica: "a1", Unreachable: true, Nodes: 1}}).Verify)
		now = now.Add(lookAgain / 10)
	}
	if looks != 2 {
		t.Errorf("%d looks in two seconds", looks)
	}
}

// Guards against nodes that ask the same replicas for ever on each other's word: what one
// node learns by looking is a reason for the next to look only if it is news.
func TestLooksDoNotGoRound(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	nodes := []*Model{NewModel("d", 1, clock), NewModel("d", 2, clock)}
	names := []string{"n1", "n2"}
	for _, m := range nodes {
		m.Update(llm, []*replicalist.Replica{part("a1", 0, 4), part("b1", 4, 8)}, all(10))
	}
	nodes[0].SetPace("a1", 1)
	looks := 0
	for range 40 {
		for i, m := range nodes {
			for _, c := range m.Judge(names[i], names, nodes[1-i].Seen()).Verify {
				looks++
				m.SetPace(c.Replica, 1)
			}
		}
		now = now.Add(300 * time.Millisecond)
	}
	if looks > 0 {
		t.Errorf("%d looks at a replica that never was slow", looks)
	}
	nodes[0].SetPace("a1", 5)
	if look := nodes[1].Judge("n2", names, nodes[0].Seen()).Verify; len(look) != 1 {
		t.Errorf("a slow one is not looked at: %+v", look)
	}
	nodes[0].SetPace("a1", 1)
	if seen := nodes[0].Seen(); len(seen) != 1 || seen[0].Slowdown != 1 {
		t.Errorf("that it is well again is not told: %+v", seen)
	}
}

// A replica that leaves refuses connections and goes on with what it has. Other nodes say
// that it is lost; the requests that run through it here stay where they are, unless its
// machine does not answer either.
func TestDoubtLeavesRequestsInPeace(t *testing.T) {
	m := halves()
	target := take(t, m, 10)
	target.Flight.Watch(func(string) {}, func(string) {})
	first := target.Path[0].Replica
	if fresh, told := m.doubt(first, false); !fresh || len(told) != 0 {
		t.Errorf("news %v, %d requests are told", fresh, len(told))
	}
	if next := take(t, m, 10); next.Path[0].Replica == first {
		t.Error("a new request was sent there")
	}
	m.Alive(first)
	if fresh, told := m.doubt(first, true); !fresh || len(told) != 1 {
		t.Errorf("its machine is silent: news %v, %d requests are told", fresh, len(told))
	}
}

// Three nodes were refused by a replica that has room. A fourth sends it nothing new, and
// tells others only what it was refused itself.
func TestRefusalsOfOthersAreHeeded(t *testing.T) {
	m := halves()
	near := []string{"n1", "n2", "n3", "n4"}
	claims := []peerreports.Observation{{Replica: "a1", Refusing: true, Nodes: peerreports.Quorum}, {Replica: "b1", Refusing: true, Nodes: 1}}
	verdict := m.Judge("n4", near, claims)
	if len(verdict.Accept) != 1 || len(verdict.Verify) != 0 || len(m.Suspects()) != 0 {
		t.Fatalf("%+v", verdict)
	}
	target := take(t, m, 10)
	if target.Replica != "a2" {
		t.Errorf("sent to %s", target.Replica)
	}
	if seen := m.Seen(); len(seen) != 0 {
		t.Errorf("passed on: %+v", seen)
	}
	m.Ended(target, Result{Fault: "a2", NoRoom: true})
	if seen := m.Seen(); len(seen) != 1 || seen[0].Replica != "a2" || !seen[0].Refusing {
		t.Errorf("what this node was refused: %+v", seen)
	}
}
