package poison

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const service = "llm"

var (
	bad    = Part{service, "bad0"}
	system = Part{service, "5c1e07a2"}
	start  = time.Unix(1_800_000_000, 0)
)

// node is a Tracker with a clock.
type node struct {
	*Tracker
	now     time.Time
	crashed int
}

// nodesMade counts the nodes, so that each has IDs of its own.
var nodesMade uint64

func newNode() *node {
	nodesMade++
	return &node{Tracker: New(rand.NewPCG(nodesMade, 0)), now: start}
}

// serve lets answers arrive, 100 ms apart.
func (n *node) serve(count int, parts ...Part) {
	for range count {
		n.now = n.now.Add(100 * time.Millisecond)
		n.Answered(n.now, parts)
	}
}

// crash lets a replica crash 100 ms after requests with the parts were sent.
func (n *node) crash(parts ...Part) {
	n.crashed++
	n.now = n.now.Add(time.Second)
	c := Crash{Process: Process{fmt.Sprint("i-", n.crashed), 1}, Version: "v1"}
	for _, p := range parts {
		c.Exposed = append(c.Exposed, Exposure{Part: p, SentAge: 100 * time.Millisecond})
	}
	n.Crashed(n.now, c)
}

func (n *node) want(t *testing.T, p Part, want Verdict) {
	t.Helper()
	if got := n.Verdict(n.now, p); got != want {
		t.Errorf("%s is %v, want %v", p.ID, got, want)
	}
}

// badCase is what happens at a node, and the verdict about the bad part after it.
type badCase struct {
	name string
	play func(*node)
	want Verdict
}

// checkBad plays cases, each at a node that has served a while. The part of all prompts stays clear.
func checkBad(t *testing.T, cases []badCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			n.serve(10, system)
			c.play(n)
			n.want(t, bad, c.want)
			n.want(t, system, Clear)
		})
	}
}

// Guards against a part that crashes one replica after the other, and against parts that are
// refused because they were at replicas that crashed for other reasons.
func TestVerdicts(t *testing.T) {
	subject := Part{service, "d00d"}
	crashThreeTimes := func(n *node) {
		n.serve(10, system)
		for range 3 {
			n.crash(system, bad)
		}
	}
	for _, c := range []struct {
		name string
		play func(*node)
		part Part
		want Verdict
	}{
		{"a part that was never answered is suspect after one crash", func(n *node) {
			n.serve(10, system)
			n.crash(system, bad)
		}, bad, Suspect},
		{"the part that all requests share is clear", crashThreeTimes, system, Clear},
		{"three crashes one after the other isolate", crashThreeTimes, bad, Isolated},
		{"an answer clears a part of all crashes before it", func(n *node) {
			n.serve(10, system)
			n.crash(system, bad)
			n.crash(system, bad)
			n.serve(1, system, bad)
			n.crash(system, bad)
		}, bad, Clear},
		{"four crashes at the same moment have one cause", func(n *node) {
			n.serve(10, system)
			for i := range 4 {
				n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("rack-", i), 1}, Exposed: []Exposure{{Part: subject, SentAge: time.Second}}})
			}
		}, subject, Suspect},
		{"the same crash seen by several nodes is one", func(n *node) {
			n.serve(10, system)
			for i := range 5 {
				n.now = n.now.Add(time.Second)
				n.Crashed(n.now, Crash{Process: Process{"i-1", 1}, Exposed: []Exposure{{Part: bad, SentAge: time.Duration(i)*time.Second + time.Millisecond}}})
			}
		}, bad, Suspect},
		{"an end that is not certain is one, whatever was sent to the port after it", func(n *node) {
			n.serve(10, system)
			for i := range 5 {
				n.now = n.now.Add(time.Second)
				n.Crashed(n.now, Crash{Process: Process{"i-1", 1}, Uncertain: i > 0, Exposed: []Exposure{{Part: bad, SentAge: time.Millisecond}}})
			}
		}, bad, Suspect},
		{"a crash of an unknown incarnation seen by several nodes is one", func(n *node) {
			n.serve(10, system)
			for range 5 {
				n.now = n.now.Add(100 * time.Millisecond)
				n.Crashed(n.now, Crash{Process: Process{Replica: "r-1"}, Exposed: []Exposure{{Part: bad, SentAge: time.Millisecond}}})
			}
		}, bad, Suspect},
		{"no part is the cause if nothing is answered", func(n *node) {
			for range 8 {
				n.crash(system, bad)
			}
		}, system, Clear},
		{"no part is the cause if all replicas crash after a time of service", func(n *node) {
			n.serve(100, system)
			for range 8 {
				n.crash(system)
			}
		}, system, Clear},
		{"no part is the cause if all replicas crash, also one that was answered long before", func(n *node) {
			n.serve(10, bad)
			n.serve(100, system)
			for range 8 {
				n.crash(system, bad)
			}
		}, bad, Clear},
		{"answers of another service show nothing", func(n *node) {
			n.serve(30, Part{"other", "a"})
			for range 8 {
				n.crash(bad)
			}
		}, bad, Clear},
		{"a part that turns bad is isolated", func(n *node) {
			n.serve(100, system, bad)
			for range 5 {
				n.crash(system, bad)
				n.serve(5, system)
			}
		}, bad, Isolated},
		{"a replica that goes on with what was sent before has not crashed", func(n *node) {
			n.serve(10, system)
			for range 5 {
				n.crash(bad)
				n.WentOn(n.now.Add(time.Second), Process{fmt.Sprint("i-", n.crashed), 1}, n.now.Add(-time.Minute))
			}
		}, bad, Clear},
		{"a replica that was started again goes on with what was sent later", func(n *node) {
			n.serve(10, system)
			for range 3 {
				n.crash(bad)
				n.WentOn(n.now.Add(time.Second), Process{fmt.Sprint("i-", n.crashed), 1}, n.now.Add(500*time.Millisecond))
			}
		}, bad, Isolated},
		{"evidence ends", func(n *node) {
			n.serve(10, system)
			n.crash(bad)
			n.crash(bad)
			n.now = n.now.Add(Window)
			n.serve(10, system)
			n.crash(bad)
		}, bad, Suspect},
	} {
		n := newNode()
		c.play(n)
		n.Isolate(n.now)
		if got := n.Verdict(n.now, c.part); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against five crashes at each node in place of five in all: the evidence of nodes that
// have seen one crash each isolates the part at all of them.
func TestEvidenceOfAllNodesGoesTogether(t *testing.T) {
	nodes := []*node{newNode(), newNode(), newNode()}
	for i, n := range nodes {
		n.serve(10, system)
		n.crashed = 10 * i
	}
	for i, n := range nodes {
		n.now = start.Add(time.Duration(i+3) * time.Second)
		n.crash(system, bad)
	}
	exchangeAll(t, nodes)
	for _, n := range nodes {
		if list := n.Isolate(n.now); len(list) != 1 || list[0].Part != bad || len(list[0].Crashes) != 3 || !slices.Equal(list[0].Versions, []string{"v1"}) {
			t.Errorf("isolated: %+v", list)
		}
		n.want(t, system, Clear)
	}
}

// Guards against a part that is not judged because all nodes have just started and each has seen an
// answer or none: the answers of all nodes show that replicas serve other requests.
func TestAnswersOfAllNodesGoTogether(t *testing.T) {
	list := []*node{newNode(), newNode(), newNode(), newNode()}
	for _, n := range list[:minRecentAnswers] {
		n.serve(1, system)
	}
	for i, n := range list {
		n.crashed = 10 * i
		n.now = start.Add(time.Duration(i+1) * time.Second)
		n.crash(system, bad)
	}
	exchangeAll(t, list)
	for _, n := range list {
		n.Isolate(n.now)
		n.want(t, bad, Isolated)
		n.want(t, system, Clear)
	}
}

// Guards against one answer that is told by several nodes, or again and again, and counts as
// several.
func TestAnswerThatIsPassedOnIsOne(t *testing.T) {
	list := []*node{newNode(), newNode(), newNode(), newNode()}
	list[0].serve(minRecentAnswers-1, system)
	for i, n := range list {
		n.crashed = 10 * i
		n.now = start.Add(time.Duration(i+1) * time.Second)
		n.crash(system, bad)
	}
	exchangeAll(t, list)
	for _, n := range list {
		n.Isolate(n.now)
		n.want(t, bad, Clear)
	}
}

// exchangeAll lets each node tell each other one twice.
func exchangeAll(t *testing.T, list []*node) {
	t.Helper()
	for _, n := range list {
		n.now = list[len(list)-1].now
	}
	for range 2 {
		for _, from := range list {
			for _, to := range list {
				if dropped, _ := to.Merge(to.now, from.Share(from.now)); dropped > 0 {
					t.Errorf("%d items are dropped", dropped)
				}
			}
		}
	}
}

// Guards against a node that has just started and holds parts against crashes that all other nodes
// have seen answered.
func TestNodeThatStartsLearnsWhatIsAnswered(t *testing.T) {
	old, started := newNode(), newNode()
	old.serve(100, system)
	started.now = old.now
	started.serve(6)
	started.crash(system)
	started.crash(system)
	started.crash(system)
	old.now = started.now
	old.Merge(old.now, started.Share(started.now))
	old.Isolate(old.now)
	old.want(t, system, Clear)
	started.Merge(started.now, old.Share(old.now))
	started.Isolate(started.now)
	started.want(t, system, Clear)
}

// Guards against a node that starts some seconds after replicas have crashed, hears of the crashes without
// the answers that clear a part of all prompts, and isolates that part for all callers.
func TestNodeThatStartsLateLearnsWhatIsAnswered(t *testing.T) {
	old := newNode()
	old.serve(100, system)
	for range 3 {
		old.crash(system)
	}
	last := old.now
	for old.now.Sub(last) < Window {
		old.serve(1, system)
		started := newNode()
		started.now = old.now
		started.Merge(started.now, old.Share(old.now))
		started.Isolate(started.now)
		if v := started.Verdict(started.now, system); v != Clear {
			t.Fatalf("a node that starts %v after the last crash holds %s for %v", old.now.Sub(last), system.ID, v)
		}
	}
}

// Guards against answers to a shared part that are not told because more requests than a message holds
// were answered after it.
func TestAnswersToSharedPartsAreToldFirst(t *testing.T) {
	n := newNode()
	n.serve(3, system)
	n.crash(system)
	n.serve(1, system)
	for i := range MaxShared + 1 {
		own := OwnPart(service, fmt.Sprint("own-", i))
		n.crash(own)
		n.now = n.now.Add(time.Millisecond)
		n.Answered(n.now, []Part{own})
		n.now = n.now.Add(-time.Second)
	}
	e := n.Share(n.now)
	if len(e.Answers) != MaxShared {
		t.Fatalf("%d answers are told", len(e.Answers))
	}
	if !slices.ContainsFunc(e.Answers, func(a Answer) bool { return a.Part == system }) {
		t.Errorf("no answer to %s is told", system.ID)
	}
}

// Guards against a node that starts after the loss of a rack, hears of more parts than of answers, as a
// message holds few of them, and isolates the parts of many callers.
func TestNodeThatStartsHoldsNoPartWhoseAnswerIsNotTold(t *testing.T) {
	old := newNode()
	var parts []Part
	for i := range 2 * MaxExposed {
		parts = append(parts, Part{service, fmt.Sprint("team-", i)})
		old.serve(1, system, parts[i])
	}
	for i := range 4 * manyCrashes {
		c := Crash{Process: Process{fmt.Sprint("rack-", i), 1}}
		for _, p := range parts[i%2*MaxExposed:][:MaxExposed] {
			c.Exposed = append(c.Exposed, Exposure{Part: p, SentAge: time.Second})
		}
		old.Crashed(old.now, c)
	}
	started := newNode()
	started.now = old.now
	started.Merge(started.now, old.Share(old.now))
	started.Isolate(started.now)
	for _, p := range parts {
		if v := started.Verdict(started.now, p); v != Clear {
			t.Fatalf("%s is %v at the node that starts, %v at the other", p.ID, v, old.Verdict(old.now, p))
		}
	}
}

// Guards against nodes that tell each other the same evidence for ever.
func TestSharingEnds(t *testing.T) {
	a, b := newNode(), newNode()
	a.serve(30, system)
	a.crash(system, bad)
	b.now = a.now
	for range 100 {
		a.now, b.now = a.now.Add(300*time.Millisecond), b.now.Add(300*time.Millisecond)
		b.Merge(b.now, a.Share(a.now))
		a.Merge(a.now, b.Share(b.now))
	}
	if e := a.Share(a.now); len(e.Crashes)+len(e.Answers) > 0 {
		t.Errorf("still told: %+v", e)
	}
}

// Guards against a peer of another version or with a fault that fills the table or clears parts.
func TestImpossibleEvidenceIsDropped(t *testing.T) {
	n := newNode()
	long := string(make([]byte, 1000))
	var many []Crash
	for i := range 10 * MaxShared {
		many = append(many, Crash{Process: Process{fmt.Sprint("i-", i), 1}})
	}
	var answers []ServiceAnswer
	for i := range 10 * MaxShared {
		answers = append(answers, ServiceAnswer{Service: fmt.Sprint("s-", i), ID: uint64(i)})
	}
	for _, c := range []struct {
		name string
		e    Evidence
		want int
	}{
		{"no replica", Evidence{Crashes: []Crash{{}}}, 1},
		{"a long name", Evidence{Crashes: []Crash{{Process: Process{long, 1}}}}, 1},
		{"no known progress", Evidence{Crashes: []Crash{{Process: Process{"i-1", 1}, Exposed: []Exposure{{Part: bad, Progress: Mixed + 1}}}}}, 1},
		{"a crash in the future", Evidence{Crashes: []Crash{{Process: Process{"i-1", 1}, Age: -time.Second}}}, 1},
		{"an old crash", Evidence{Crashes: []Crash{{Process: Process{"i-1", 1}, Age: time.Hour}}}, 1},
		{"a negative incarnation", Evidence{Crashes: []Crash{{Process: Process{"i-1", -1}}}}, 1},
		{"a part without an ID", Evidence{Crashes: []Crash{{Process: Process{"i-1", 1}, Exposed: []Exposure{{Part: Part{service, ""}}}}}}, 1},
		{"a request in the future", Evidence{Crashes: []Crash{{Process: Process{"i-1", 1}, Exposed: []Exposure{{Part: bad, SentAge: -1}}}}}, 1},
		{"an answer in the future", Evidence{Answers: []Answer{{Part: bad, Age: -1}}}, 1},
		{"an old answer", Evidence{Answers: []Answer{{Part: bad, Age: Window}}}, 1},
		{"an answer of no service", Evidence{ServiceAnswers: []ServiceAnswer{{ID: 1}}}, 1},
		{"an answer of a service in the future", Evidence{ServiceAnswers: []ServiceAnswer{{Service: service, ID: 1, Age: -1}}}, 1},
		{"many answers of services", Evidence{ServiceAnswers: answers}, 9 * MaxShared},
		{"many crashes", Evidence{Crashes: many}, 9 * MaxShared},
	} {
		if dropped, _ := n.Merge(n.now, c.e); dropped != c.want {
			t.Errorf("%s: %d dropped, want %d", c.name, dropped, c.want)
		}
	}
	for i := range 3 * maxServices {
		n.Merge(n.now, Evidence{ServiceAnswers: []ServiceAnswer{{Service: fmt.Sprint("t-", i), ID: 1}}})
	}
	if len(n.answers) > maxServices {
		t.Errorf("answers of %d services are kept", len(n.answers))
	}
	for i := range 3 * maxCrashes {
		n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("j-", i), 1}})
	}
	for i := range 3 * maxAnswered {
		n.Answered(n.now, []Part{{service, fmt.Sprint(i)}, OwnPart(service, fmt.Sprint(i))})
	}
	parts, requests := len(n.parts.newer)+len(n.parts.older), len(n.requests.newer)+len(n.requests.older)
	if len(n.crashes) > maxCrashes || parts > 2*maxAnswered || requests > 2*maxAnswered {
		t.Errorf("%d crashes, %d answered parts, %d answered requests are kept", len(n.crashes), parts, requests)
	}
}

// Guards against a crash with many bystanders in which the part at fault has no place.
func TestPartsThatWereNeverAnsweredComeFirst(t *testing.T) {
	n := newNode()
	var exposed []Part
	for i := range MaxExposed {
		p := Part{service, fmt.Sprint("known-", i)}
		n.serve(1, p)
		exposed = append(exposed, p)
	}
	for range 3 {
		n.crash(append(slices.Clone(exposed), bad)...)
	}
	n.Isolate(n.now)
	n.want(t, bad, Isolated)
}

// Guards against an isolation that never ends, or of which each node sends trials of its own.
func TestIsolationEnds(t *testing.T) {
	isolated := func() *node {
		n := newNode()
		n.serve(10, system)
		n.crash(bad)
		n.crash(bad)
		n.crash(bad)
		i := n.Isolate(n.now)[0]
		i.Revision = 7
		n.SetStored(n.now, []Isolation{i})
		return n
	}
	due := func(n *node, versions ...string) bool {
		_, ok := n.TrialDue(n.now, bad, versions, 0)
		return ok
	}
	stored := func(n *node, next Isolation) {
		next.Revision++
		n.SetStored(n.now, []Isolation{next})
	}

	n := isolated()
	if due(n, "v1") || due(n) || due(n, "v2", "v1") {
		t.Error("a trial is due at once")
	}
	trials := 0
	for range 100 {
		n.now = n.now.Add(time.Hour)
		if next, ok := n.TrialDue(n.now, bad, []string{"v1"}, 0); ok {
			trials++
			stored(n, next)
		}
	}
	if trials != maxTrials {
		t.Errorf("%d trials in 100 hours, want %d", trials, maxTrials)
	}
	next, ok := n.TrialDue(n.now, bad, []string{"v2"}, 0)
	if !ok {
		t.Error("no trial at replicas of a new version")
	}
	stored(n, next)
	if due(n, "v2") {
		t.Error("two trials at replicas of one version")
	}

	n = isolated()
	if lifted := n.SetStored(n.now, nil); !slices.Equal(lifted, []Part{bad}) {
		t.Errorf("lifted: %v", lifted)
	}
	n.Isolate(n.now)
	n.want(t, bad, Clear)
	n.crash(bad)
	n.want(t, bad, Suspect)

	n = isolated()
	if parts := n.Answered(n.now, []Part{system, bad}); !slices.Equal(parts, []Part{bad}) {
		t.Errorf("answered although isolated: %v", parts)
	}
}

// Guards against an isolation that a node which starts, or all nodes that start at once, don't know.
func TestStoredIsolationHoldsAtOnce(t *testing.T) {
	n := newNode()
	n.SetStored(n.now, []Isolation{{Part: bad, Revision: 3}})
	n.want(t, bad, Isolated)
	if len(n.Isolate(n.now)) > 0 || len(n.Isolations()) != 1 {
		t.Error("isolated anew")
	}
}

// Guards against a node that ends since the number of trials of an isolation becomes negative.
func TestOddNumbersOfTrials(t *testing.T) {
	for _, trials := range []int{math.MaxInt, -1, math.MinInt} {
		n := newNode()
		n.Update(n.now, Isolation{Part: bad, Versions: []string{"v1"}, Trials: trials, Revision: 3})
		for range 3 {
			n.now = n.now.Add(3 * time.Hour)
			next, due := n.TrialDue(n.now, bad, []string{"v2"}, 0)
			if due {
				t.Errorf("%d trials: one is due", trials)
				next.Revision++
				n.Update(n.now, next)
			}
		}
		n.want(t, bad, Isolated)
	}
}
