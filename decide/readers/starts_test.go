package readers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// answerBytes is a whole answer about 3,000 replicas, and smallLink a small VM's link in
	// bytes a second.
	answerBytes = 150 << 10
	smallLink   = 20e6 / 8
)

// starting is a node that starts, in a simulation.
type starting struct {
	starts Starts
	// has is when it has the whole answer, from then on it can be asked; zero if it has not.
	has time.Time
	// ask is where it asks next, and when.
	ask  string
	next time.Time
}

// started plays nodes of one failure domain that start together before a reader with a
// small link, and returns how long it takes until all have an answer. Without the rule all
// answers go over the reader's link.
func started(nodes int, rule bool) time.Duration {
	const (
		trip  = 2 * time.Millisecond
		pause = 50 * time.Millisecond
		limit = time.Minute
	)
	begun := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	fleet := map[string]*starting{"reader": {starts: Starts{Link: smallLink}, has: begun}}
	var names []string
	for i := range nodes {
		name := fmt.Sprint("n", i)
		names = append(names, name)
		fleet[name] = &starting{starts: Starts{Link: smallLink}, ask: "reader", next: begun}
	}
	if !rule {
		return time.Duration(float64(nodes) * answerBytes / smallLink * float64(time.Second))
	}
	for now := begun; now.Sub(begun) < limit; now = now.Add(time.Millisecond) {
		left := 0
		for _, name := range names {
			n := fleet[name]
			if !n.has.IsZero() {
				if n.has.After(now) {
					left++
				}
				continue
			}
			left++
			if now.Before(n.next) {
				continue
			}
			asked := fleet[n.ask]
			ready := !asked.has.IsZero() && !asked.has.After(now)
			switch {
			case ready && asked.starts.Admit(now, name, answerBytes):
				n.has = asked.starts.free.Add(trip)
			case ready && len(asked.starts.admitted) > 0:
				named := asked.starts.Elsewhere(random.IntN)
				n.ask, n.next = named[random.IntN(len(named))], now.Add(trip)
			default:
				n.ask, n.next = "reader", now.Add(pause/2+time.Duration(random.Int64N(int64(pause))))
			}
		}
		if left == 0 {
			return now.Sub(begun)
		}
	}
	return limit
}

// All nodes of a failure domain start at once. By the reader's link alone the time grows
// with their number; where those that have an answer give it on, with its logarithm.
func TestStartsSpread(t *testing.T) {
	with := map[int]time.Duration{}
	for _, nodes := range []int{10, 100, 400} {
		with[nodes] = started(nodes, true)
		t.Logf("%d nodes: %v, by one link %v", nodes, with[nodes], started(nodes, false))
	}
	if alone := started(100, false); with[100] > alone/4 {
		t.Errorf("100 nodes have their answers after %v, by one link after %v", with[100], alone)
	}
	if with[400] > 2*with[100] {
		t.Errorf("400 nodes take %v, 100 take %v", with[400], with[100])
	}
}

func TestStartsAreAdmittedByTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Starts{Link: smallLink}
	admitted := 0
	for i := range 50 {
		if s.Admit(now, fmt.Sprint(i), answerBytes) {
			admitted++
		}
	}
	if admitted != 1 {
		t.Errorf("%d answers at once on a link that carries one in the time", admitted)
	}
	if !s.Admit(now.Add(time.Second), "later", answerBytes) {
		t.Error("none is admitted when the link is free again")
	}
	var unknown Starts
	for range 50 {
		if !unknown.Admit(now, "", answerBytes) {
			t.Fatal("a link that is not known bounds answers")
		}
	}
	if named := unknown.Elsewhere(rand.IntN); named != nil {
		t.Errorf("nodes that can't be asked are named: %v", named)
	}
}

// Guards against a list of names that grows with the starts, and against one name for all.
func TestNamesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Starts
	for i := range 10 * mostKept {
		s.Admit(now, fmt.Sprint(i), 1)
	}
	if len(s.admitted) != mostKept {
		t.Errorf("%d are kept", len(s.admitted))
	}
	seen := map[string]bool{}
	for range 100 {
		named := s.Elsewhere(rand.IntN)
		if len(named) != mostNamed {
			t.Fatalf("named %v", named)
		}
		for _, name := range named {
			seen[name] = true
		}
	}
	if len(seen) < mostKept/2 {
		t.Errorf("only %d of %d are named", len(seen), mostKept)
	}
}
