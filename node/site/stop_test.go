package site

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

const (
	// stopGrace is the grace period of nodes that are stopped, stopEntryTTL for how long callers keep
	// their addresses: some use them three times as long, so until the end.
	stopGrace    = 3 * time.Second
	stopEntryTTL = time.Second
	orderTimeout = 1200 * time.Millisecond
	// orderWork is how long a replica works on an order, which is within its timeout.
	orderWork = time.Second
)

// stoppable starts a node with a short grace period. Orders and reads have orderTimeout.
func (p *platform) stoppable(name string) *running {
	p.t.Helper()
	settings, timing := p.settings(name), quick
	settings.Bounds.Grace, timing.EntryTTL = stopGrace, stopEntryTTL
	return p.start(settings, timing, netip.AddrPort{})
}

// slowPlain makes the replicas of the plain service work on each request for a time.
func (p *platform) slowPlain(work time.Duration) {
	for _, id := range []string{"i-plain-0", "i-plain-1"} {
		p.Replica(id).SetFault(replica.Fault{Work: work})
	}
}

// Guards against orders and reads that a stopped node accepts although it ends before their answers:
// their connections close without an answer while replicas work on them.
func TestStoppedNodeAnswersWhatItAccepts(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{
		{"orders", http.MethodPost, "/order/1"},
		{"reads", http.MethodGet, "/read/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(3, time.Millisecond)
			p.ConfigureEdited([]string{goodKey}, `"timeoutMs":1500`, fmt.Sprintf(`"timeoutMs":%d`, orderTimeout.Milliseconds()))
			p.slowPlain(orderWork)
			node := p.stoppable("front-1")
			node.stop()
			var group sync.WaitGroup
			var mu sync.Mutex
			served, refused := 0, 0
			for begun, i := time.Now(), 0; time.Since(begun) < stopGrace; i++ {
				id := fmt.Sprint(c.name, "-", i)
				group.Go(func() {
					got, at := node.ask(c.method, c.path, id, goodKey), time.Since(begun)
					ran := len(p.Fleet.Runs(id)) > 0
					mu.Lock()
					defer mu.Unlock()
					switch {
					case got.err == nil && got.status == http.StatusOK:
						served++
					case got.err == nil && got.status == http.StatusServiceUnavailable && !ran:
						refused++
					case ran:
						t.Errorf("%s ran and got status %d, %v; its answer ended %v after the stop", id, got.status, got.err, at)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
			group.Wait()
			if served < 10 || refused < 5 {
				t.Errorf("%d served and %d refused: the node accepts too little or too much", served, refused)
			}
		})
	}
}

// Guards against a caller whose connection closes without a word when the node that was told to stop
// ends before the answer: the caller is told that the outcome is unknown.
func TestStoppedNodeAnswersWhatItCannotFinish(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	p.ConfigureEdited([]string{goodKey}, `"timeoutMs":1500`, `"timeoutMs":15000`)
	p.slowPlain(10 * time.Second)
	node := p.stoppable("front-1")
	answers := make(chan answer, 1)
	go func() { answers <- node.ask(http.MethodPost, "/order/1", "long", goodKey) }()
	p.until("the order runs", func() bool { return len(p.Fleet.Runs("long")) > 0 })
	node.stop()
	if got := <-answers; got.status != http.StatusGatewayTimeout || got.err != nil {
		t.Errorf("status %d, %v; want 504", got.status, got.err)
	}
	if !strings.Contains(p.log(), "requests ended by the stop") {
		t.Errorf("the log doesn't tell of the order\n%s", p.log())
	}
	if got := node.ask(http.MethodPost, "/order/1", "later", goodKey); got.status == http.StatusOK || len(p.Fleet.Runs("later")) > 0 {
		t.Errorf("an order that can't end before the node is accepted: status %d", got.status)
	}
}

// Guards against an order that a node accepts before it is told to stop and sends to a replica after
// that, although the node ends before the order may: its caller can't know whether it was placed.
func TestStoppedNodeSendsNoOrderThatOutlastsIt(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	p.ConfigureEdited([]string{goodKey}, `"timeoutMs":1500`, `"timeoutMs":15000`)
	node := p.stoppable("front-1")
	body, rest := io.Pipe()
	answers := make(chan answer, 1)
	go func() {
		answers <- node.upload(http.MethodPost, "/order/1", "upload", goodKey, body, "Expect", "100-continue")
	}()
	if _, err := io.WriteString(rest, "some "); err != nil { // returns once the node has accepted the head
		t.Fatal(err)
	}
	p.slowPlain(10 * time.Second)
	node.stop()
	p.until("the node leaves", func() bool { return node.leavingFor() > 0 })
	if _, err := io.WriteString(rest, "cream"); err != nil {
		t.Fatal(err)
	}
	if err := rest.Close(); err != nil {
		t.Fatal(err)
	}
	if got := <-answers; got.status != http.StatusServiceUnavailable || got.err != nil || len(p.Fleet.Runs("upload")) > 0 {
		t.Errorf("status %d, %v, ran %v; want a refusal as not run", got.status, got.err, p.Fleet.Runs("upload"))
	}
}

// Guards against streams that a stopped node accepts late, and against a cut stream that looks
// complete or whose cause the log doesn't name.
func TestStreamsOfAStoppedNode(t *testing.T) {
	p := newPlatform(t)
	p.chains(1000, 50*time.Millisecond)
	node := p.stoppable("front-1")
	cut := make(chan answer, 1)
	go func() { cut <- node.ask(http.MethodPost, "/ask/1", "early", goodKey) }()
	p.until("the stream runs", func() bool { return len(p.Fleet.Runs("early")) > 0 })
	node.stop()
	p.until("long streams are no longer accepted", func() bool { return node.leavingFor() > stopGrace/2 })
	if got := node.ask(http.MethodPost, "/ask/1", "late", goodKey); got.status != http.StatusServiceUnavailable {
		t.Errorf("late stream: status %d, %v; want a refusal", got.status, got.err)
	}
	if got := <-cut; got.err == nil {
		t.Errorf("a cut stream of %d bytes looks complete", len(got.body))
	}
	p.until("the log names the cause", func() bool { return strings.Contains(p.log(), `"reason":"answer cut: leaving"`) })
}

// Guards against a request that is forwarded to a node which was told to stop: another node serves it.
func TestStoppedNodeServesNoForwardedRequests(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	leaving, _ := p.helper("front-2")
	p.helper("front-3")
	node, _ := p.cutOffNode("front-1")
	p.awaitHelpers(node, 2)
	leaving.stop()
	p.until("the node leaves", func() bool { return leaving.leavingFor() > 0 })
	for i := range 10 {
		for _, path := range []string{"/order/1", "/ask/1"} {
			if got := node.ask(http.MethodPost, path, fmt.Sprint(path, i), goodKey); got.status != http.StatusOK {
				t.Errorf("%s: status %d, %v", path, got.status, got.err)
			}
		}
	}
}

// Guards against requests that a stopped node accepts by a grace period which is changed during the stop, while the
// platform kills the process by the one before.
func TestGracePeriodIsNotExtendedDuringAStop(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.stoppable("front-1")
	node.stop()
	p.until("the node leaves", func() bool { return node.leavingFor() > 0 })
	for grace, want := range map[time.Duration]time.Duration{10 * stopGrace: stopGrace, stopGrace / 2: stopGrace / 2} {
		changed := node.bounds()
		changed.Grace = grace
		node.inForce.Store(&changed)
		if got := node.drain().End; got != want-leaveMargin {
			t.Errorf("with a grace period of %v the node ends after %v, want %v", grace, got, want-leaveMargin)
		}
	}
}
