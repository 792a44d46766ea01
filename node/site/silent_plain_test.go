package site

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
)

const (
	// plainSilence is longer than a read waits for one replica, and shorter than its timeout.
	plainSilence = time.Second
	// hedgedReadWithin is in which time a read is answered although one replica is silent for good:
	// three times the objective of its route, and what a busy machine adds.
	hedgedReadWithin = 1300 * time.Millisecond
)

// askAll sends so many requests at once and returns the answers and the longest time.
func (n *running) askAll(count int, method, path, id string) (answers []answer, longest time.Duration) {
	answers = make([]answer, count)
	took := make([]time.Duration, count)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			begun := time.Now()
			answers[i] = n.ask(method, path, fmt.Sprint(id, i), goodKey)
			took[i] = time.Since(begun)
		})
	}
	wg.Wait()
	for _, t := range took {
		longest = max(longest, t)
	}
	return answers, longest
}

// wantOwnAnswers checks that each request got a whole answer, and its own.
func (p *platform) wantOwnAnswers(answers []answer, id string) {
	p.t.Helper()
	for i, got := range answers {
		if want := fmt.Sprint("answer to ", id, i); got.err != nil || got.status != http.StatusOK || got.body != want {
			p.t.Errorf("%s%d: status %d, %q, %v", id, i, got.status, got.body, got.err)
		}
	}
	if p.t.Failed() {
		p.t.Log(p.log())
	}
}

// silence lets the ways to some replicas of a view be silent for a time.
func silence(cut func(func(*link.Link)), heal func(), lasts time.Duration) (ended chan struct{}) {
	cut((*link.Link).Freeze)
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(lasts)
		heal()
	}()
	return ended
}

// Guards against a read that is given up because all replicas are silent for a second, although
// they work on it and its deadline is far, and against answers that reach another caller.
func TestReadsOutliveSilentReplicas(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node, view := p.viewed("front-1", "bandung")
	ended := silence(view.Cut, view.Heal, plainSilence)
	answers, _ := node.askAll(20, "GET", "/read/1", "silent-")
	<-ended
	p.wantOwnAnswers(answers, "silent-")
	answers, _ = node.askAll(20, "GET", "/read/1", "later-")
	p.wantOwnAnswers(answers, "later-")
}

// Guards against a read that is given up because its replica is silent and the other one can't
// serve it, although the silent one works on it.
func TestReadOutlivesSilentReplicaWhileTheOtherRefuses(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node, view := p.viewed("front-1", "bandung")
	p.Replica("i-plain-1").SetFault(replica.Fault{Refuse: true})
	cut := func(fault func(*link.Link)) { view.CutSome(fault, func(id string) bool { return id == "i-plain-0" }) }
	ended := silence(cut, view.Heal, plainSilence)
	answers, _ := node.askAll(10, "GET", "/read/1", "silent-")
	<-ended
	p.wantOwnAnswers(answers, "silent-")
}

// Guards against a read that waits until its deadline although another replica could answer it, and
// against one that is sent to more replicas than its route allows.
func TestReadIsAnsweredInPlaceOfASilentReplica(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(*platform)
		within time.Duration
	}{
		{"silent for good", func(p *platform) { p.Replica("i-plain-0").SetFault(replica.Fault{Hang: true}) }, hedgedReadWithin},
		{"dead", func(p *platform) { p.Lose("i-plain-0") }, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(3, time.Millisecond)
			node := p.node(p.settings("front-1"))
			c.fault(p)
			answers, longest := node.askAll(10, "GET", "/read/1", "read-")
			p.wantOwnAnswers(answers, "read-")
			if longest > c.within {
				t.Errorf("a read took %v, want at most %v", longest, c.within)
			}
			for i := range answers {
				if sent := p.sentTo(fmt.Sprint("read-", i)); sent > 2 {
					t.Errorf("read %d was sent to %d replicas, its route allows 2", i, sent)
				}
			}
		})
	}
}

// sentTo counts the calls of a request that have reached replicas.
func (p *platform) sentTo(id string) int {
	sent := 0
	for _, r := range p.Fleet.ReplicaIDs() {
		for _, a := range p.Fleet.Arrivals(r) {
			if a.Request == id {
				sent++
			}
		}
	}
	return sent
}

// Guards against an order that is sent again, or given up, because its replica is silent.
func TestOrderIsSentOnceToASilentReplica(t *testing.T) {
	t.Run("silent for a second", func(t *testing.T) {
		p := newPlatform(t)
		p.chains(3, time.Millisecond)
		node, view := p.viewed("front-1", "bandung")
		ended := silence(view.Cut, view.Heal, plainSilence)
		answers, _ := node.askAll(10, "POST", "/order/1", "order-")
		<-ended
		p.wantOwnAnswers(answers, "order-")
		for i := range answers {
			if runs := p.Fleet.Runs(fmt.Sprint("order-", i)); len(runs) != 1 {
				t.Errorf("order %d ran %d times", i, len(runs))
			}
		}
	})
	t.Run("silent for good", func(t *testing.T) {
		p := newPlatform(t)
		p.chains(3, time.Millisecond)
		node := p.node(p.settings("front-1"))
		for _, id := range []string{"i-plain-0", "i-plain-1"} {
			p.Replica(id).SetFault(replica.Fault{Hang: true})
		}
		if got := node.ask("POST", "/order/1", "order", goodKey); got.status != http.StatusGatewayTimeout {
			t.Errorf("status %d, want 504 at the deadline", got.status)
		}
		if sent := p.sentTo("order"); sent != 1 {
			t.Errorf("the order was sent %d times", sent)
		}
	})
}

// Guards against a forwarded read that its first node gives up while the node that serves it waits
// for silent replicas, or asks another one.
func TestForwardedReadOutlivesSilentReplicas(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent func(id string) bool
	}{
		{"all silent", func(string) bool { return true }},
		{"one silent", func(id string) bool { return id == "i-plain-0" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(3, time.Millisecond)
			_, view := p.viewed("front-2", "bandung")
			node, _ := p.cutOffNode("front-1")
			p.awaitHelpers(node, 1)
			cut := func(fault func(*link.Link)) { view.CutSome(fault, c.silent) }
			ended := silence(cut, view.Heal, plainSilence)
			answers, _ := node.askAll(10, "GET", "/read/1", "silent-")
			<-ended
			p.wantOwnAnswers(answers, "silent-")
		})
	}
}

// Guards against a read that waits until its deadline because its node has lost the way to the replica
// that has it, although another node could serve it.
func TestReadGoesToAnotherNodeBesideAReplicaOutOfReach(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	p.viewed("front-2", "bandung")
	node, view := p.viewed("front-1", "bekasi")
	p.awaitHelpers(node, 1)
	view.Cut((*link.Link).Freeze)
	var answers []answer
	var longest time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		answers, longest = node.askAll(10, "GET", "/read/1", "read-")
	}()
	time.Sleep(100 * time.Millisecond)
	view.Cut(func(l *link.Link) { l.Partition(link.Both) })
	for i := range 4 {
		go node.ask("GET", "/read/1", fmt.Sprint("find-out-", i), goodKey)
	}
	<-done
	p.wantOwnAnswers(answers, "read-")
	if longest > hedgedReadWithin {
		t.Errorf("a read took %v, want at most %v", longest, hedgedReadWithin)
	}
}
