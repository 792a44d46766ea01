package poison

import (
	"fmt"
	"testing"
	"time"
)

var badRequest = OwnPart(service, "0bad")

// crashLate lets a replica crash in the middle of the answers to requests with the parts.
func (n *node) crashLate(parts ...Part) {
	n.crashed++
	n.now = n.now.Add(500 * time.Millisecond)
	n.Begun(n.now, parts)
	n.now = n.now.Add(500 * time.Millisecond)
	c := Crash{Process: Process{fmt.Sprint("late-", n.crashed), 1}, Version: "v1"}
	for _, p := range parts {
		c.Exposed = append(c.Exposed, Exposure{Part: p, SentAge: 600 * time.Millisecond, Progress: Begun})
	}
	n.Crashed(n.now, c)
}

// Guards against a request that crashes one replica after the other by what is its own, or in the
// middle of its answers, and against sound requests and parts that are refused with it.
func TestVerdictsAboutRequests(t *testing.T) {
	crashes := func(count int, crash func(*node, ...Part), parts ...Part) func(*node) {
		return func(n *node) {
			n.serve(10, system)
			for range count {
				crash(n, parts...)
				n.serve(3, system)
			}
		}
	}
	early, late := (*node).crash, (*node).crashLate
	for _, c := range []struct {
		name string
		play func(*node)
		part Part
		want Verdict
	}{
		{"a request is clear after one crash", crashes(1, early, system, badRequest), badRequest, Clear},
		{"it is suspect after two", crashes(2, early, system, badRequest), badRequest, Suspect},
		{"three crashes isolate it", crashes(3, early, system, badRequest), badRequest, Isolated},
		{"three crashes in the middle of the answer isolate it", crashes(3, late, system, badRequest), badRequest, Isolated},
		{"the part that all requests share is clear", crashes(5, late, system, badRequest), system, Clear},
		{"answers that begin and never become complete clear no part", crashes(3, late, system, bad), bad, Isolated},
		{"two such crashes make a part suspect", crashes(2, late, system, bad), bad, Suspect},
		{"one does not", crashes(1, late, system, bad), bad, Clear},
		{"a complete answer clears the request", func(n *node) {
			crashes(2, late, system, badRequest)(n)
			n.serve(1, system, badRequest)
			late(n, system, badRequest)
		}, badRequest, Clear},
		{"a request that many send needs more evidence", func(n *node) {
			n.serve(1, system, badRequest)
			crashes(4, early, system, badRequest)(n)
		}, badRequest, Clear},
		{"it is isolated by that", func(n *node) {
			n.serve(1, system, badRequest)
			for range 5 {
				early(n, system, badRequest)
				n.serve(5, system)
			}
		}, badRequest, Isolated},
		{"no request is the cause if nothing is answered", func(n *node) {
			for range 5 {
				early(n, system, badRequest)
			}
		}, badRequest, Clear},
		{"three crashes in turn with others are not enough", func(n *node) {
			n.serve(10, system)
			for range 3 {
				late(n, system)
				late(n, system, badRequest)
			}
		}, badRequest, Suspect},
		{"nor are three after others", func(n *node) {
			crashes(3, late, system)(n)
			crashes(3, late, system, badRequest)(n)
		}, badRequest, Suspect},
		{"five are, whatever else crashes", func(n *node) {
			crashes(5, late, system)(n)
			crashes(5, late, system, badRequest)(n)
		}, badRequest, Isolated},
		{"others at one moment are one", func(n *node) {
			n.serve(10, system)
			for i := range 8 {
				n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("rack-", i), 1}, Exposed: []Exposure{{Part: system, SentAge: time.Second}}})
			}
			crashes(4, late, system, badRequest)(n)
		}, badRequest, Isolated},
		{"crashes at the same moment are one", func(n *node) {
			n.serve(10, system)
			for i := range 5 {
				n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("rack-", i), 1}, Exposed: []Exposure{{Part: badRequest, SentAge: time.Second}}})
			}
		}, badRequest, Clear},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			c.play(n)
			n.want(t, c.part, c.want)
		})
	}
}

// Guards against a sound request that is refused for minutes because of crashes that other nodes
// refute a moment later.
func TestWeakEvidenceIsolatesOnceItHasSettled(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	for range 3 {
		n.crashLate(system, badRequest)
	}
	if list := n.Isolate(n.now); len(list) > 0 {
		t.Errorf("isolated at once: %v", list)
	}
	n.want(t, badRequest, Isolated)
	for id := range n.crashes {
		n.Crashed(n.now, Crash{Process: id, Refuted: true})
	}
	n.now = n.now.Add(settleAfter)
	if list := n.Isolate(n.now); len(list) > 0 {
		t.Errorf("isolated by crashes that were refuted: %v", list)
	}
	n.want(t, badRequest, Clear)
}

// Guards against a request that nodes never find because each crash has many bystanders.
func TestRequestsThatWereAtEarlierCrashesComeFirst(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	bystanders := 0
	for range 3 {
		parts := []Part{}
		for range MaxOwnExposed {
			bystanders++
			parts = append(parts, OwnPart(service, fmt.Sprint("bystander-", bystanders)))
		}
		n.crashLate(parts...)
		n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("late-", n.crashed), 1}, Exposed: []Exposure{{Part: badRequest, SentAge: 100 * time.Millisecond}}})
		n.serve(3, system)
	}
	n.want(t, badRequest, Isolated)
}

// Guards against evidence that another node takes for stronger or weaker than it is.
func TestNodesAgreeOnWeakEvidence(t *testing.T) {
	a, b := newNode(), newNode()
	for range 3 {
		a.serve(3, system)
		a.crashLate(system, bad, badRequest)
	}
	a.serve(3, system)
	b.now = a.now
	b.Merge(b.now, a.Share(a.now))
	for _, p := range []Part{bad, badRequest, system} {
		if got, want := b.Verdict(b.now, p), a.Verdict(a.now, p); got != want {
			t.Errorf("%s is %v at the node that is told, %v at the other", p.ID, got, want)
		}
	}
	a.Answered(a.now, []Part{system, bad, badRequest})
	b.Merge(b.now, a.Share(a.now))
	b.want(t, bad, Clear)
	b.want(t, badRequest, Clear)
}

// Guards against a part of all prompts that is isolated, for all callers, when all nodes have just
// started and replicas crash before the first answers become complete: most requests with it are in the
// middle of their answers then.
func TestPartOfAllPromptsIsNotIsolatedByWeakEvidence(t *testing.T) {
	var e Evidence
	for i, progress := range []Progress{Begun, Begun, Waiting} {
		e.Crashes = append(e.Crashes, Crash{
			Process: Process{fmt.Sprint("i-", i), 1}, Age: time.Duration(3-i) * time.Second,
			Exposed: []Exposure{{Part: system, SentAge: time.Duration(3-i)*time.Second + 100*time.Millisecond, Progress: progress}},
		})
	}
	for i := range minRecentAnswers {
		e.ServiceAnswers = append(e.ServiceAnswers, ServiceAnswer{Service: service, ID: uint64(i), Age: time.Second})
	}
	n := newNode()
	n.Merge(n.now, e)
	n.want(t, system, Suspect)
	n.Begun(n.now, []Part{system})
	n.want(t, system, Clear)
}

// Guards against a part of all prompts that is isolated while replicas end so often that answers begin and
// none becomes complete: an answer that has only begun may have the part itself.
func TestAnswersThatOnlyBeginAreNoEvidenceAgainstAPart(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	for range 2 * isolateAnsweredAfter {
		n.crashLate(system)
		for range minAnswersSince {
			n.now = n.now.Add(10 * time.Millisecond)
			n.Begun(n.now, []Part{system})
		}
	}
	n.want(t, system, Clear)
}

// Guards against a part that crashes replicas in the middle of the answers and is cleared each time by the
// next answer that begins, because another request with it had only just been sent to the same replica.
func TestRequestThatWaitsDoesNotHideOneInTheMiddleOfItsAnswer(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	for range 3 {
		n.crashLate(system, bad)
		n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("late-", n.crashed), 1}, Exposed: []Exposure{{Part: bad, SentAge: time.Millisecond}}})
		n.serve(3, system)
		n.Begun(n.now, []Part{system, bad})
	}
	n.want(t, bad, Isolated)
}

// crashUncertain lets a replica crash, in a way that may be a lost connection, 100 ms after requests with
// the parts were sent.
func (n *node) crashUncertain(parts ...Part) {
	n.crash(parts...)
	n.crashes[Process{fmt.Sprint("i-", n.crashed), 1}].uncertain = true
}

// begin lets an answer begin, 100 ms later.
func (n *node) begin(parts ...Part) {
	n.now = n.now.Add(100 * time.Millisecond)
	n.Begun(n.now, parts)
}

// Guards against a part that ends replicas whose ports go on accepting connections, so fast that no answer
// becomes complete; and against parts that are refused because one node has lost its links.
func TestUncertainEndsIsolateWhileOtherAnswersBegin(t *testing.T) {
	checkBad(t, []badCase{
		{"three ends", func(n *node) {
			for range 3 {
				n.crashUncertain(system, bad)
				n.begin(system)
			}
		}, Isolated},
		{"two ends", func(n *node) {
			n.crashUncertain(system, bad)
			n.begin(system)
			n.crashUncertain(system, bad)
			n.begin(system)
			n.begin(system)
		}, Suspect},
		{"three ends and no answer since", func(n *node) {
			for range 3 {
				n.crashUncertain(system, bad)
			}
		}, Clear},
		{"an answer with the part begins", func(n *node) {
			for range 3 {
				n.crashUncertain(system, bad)
				n.begin(system)
			}
			n.begin(system, bad)
		}, Clear},
	})
}

// Guards against a node that tells of answers without saying that it has seen them to a part which it
// holds against a crash that it has seen itself.
func TestNodeTellsWhatItHasAnsweredBeforeACrash(t *testing.T) {
	n := newNode()
	n.serve(3, system)
	n.crash(system)
	if e := n.Share(n.now); len(e.Answers) != 1 || e.Answers[0].Part != system || !e.Answers[0].Complete {
		t.Errorf("told: %+v", e.Answers)
	}
}

// Guards against copies of one request, each sent before the crash under the one before it was seen,
// whose crashes count as one.
func TestCrashesUnderOverlappingCopiesOfARequestCount(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	for i := range 3 {
		n.now = n.now.Add(2 * sameMoment)
		n.Crashed(n.now, Crash{Process: Process{fmt.Sprint("i-", i), 1}, Exposed: []Exposure{{Part: badRequest, SentAge: time.Second}}})
	}
	n.want(t, badRequest, Isolated)
}

// Guards against a crash that is refuted by the next process of the replica: a busy node learns of a
// crash late, when requests have been sent to that process already.
func TestNextProcessOfAReplicaDoesNotRefuteACrash(t *testing.T) {
	n := newNode()
	n.serve(10, system)
	n.crash(system, bad)
	before := n.now.Add(-100 * time.Millisecond)
	if n.WentOn(n.now.Add(time.Second), Process{"i-1", 2}, before) {
		t.Error("refuted by another incarnation")
	}
	if !n.WentOn(n.now.Add(time.Second), Process{Replica: "i-1"}, before) {
		t.Error("not refuted by a process whose incarnation is not known")
	}
}

// Guards against ends of a replica that count as one because the list of replicas is behind: a replica starts
// again, gets requests under its former incarnation, and ends again.
func TestEndsUnderAnIncarnationThatIsOutdatedCount(t *testing.T) {
	for name, incarnation := range map[string]func(i int64) int64{
		"no node's list is in time":   func(int64) int64 { return 1 },
		"another node's list is":      func(i int64) int64 { return i },
		"another node's shows no one": func(int64) int64 { return 0 },
	} {
		n, other := newNode(), newNode()
		n.serve(10, system)
		other.serve(10, system)
		end := func(at *node, incarnation int64, sentAge time.Duration) {
			at.Crashed(n.now, Crash{Process: Process{"i-1", incarnation}, Exposed: []Exposure{{Part: badRequest, SentAge: sentAge}}})
		}
		for i := range int64(3) {
			n.now = n.now.Add(2 * time.Second)
			end(n, 1, 300*time.Millisecond)
			end(n, 1, 300*time.Millisecond)
			n.now = n.now.Add(200 * time.Millisecond)
			end(other, incarnation(i+1), 500*time.Millisecond)
			n.Merge(n.now, other.Share(n.now))
			other.Merge(n.now, n.Share(n.now))
		}
		end(n, 1, 7*time.Second) // the first end, noticed late
		for _, each := range []*node{n, other} {
			if found := len(each.exposures(badRequest)); found != 3 {
				t.Errorf("%s: %d ends are known, want 3", name, found)
			}
		}
	}
}
