package site

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
)

// Guards against requests under way that a new version of the configuration ends, or ends sooner,
// while their sound replicas are silent. A request keeps the limits that it was admitted with.
func TestRequestsAtSilentReplicasOutliveNewVersions(t *testing.T) {
	const streams, events, orders = 8, 100, 8
	keys := []string{goodKey}
	restored := func(p *platform) { p.Configure(goodKey) }
	for _, c := range []struct {
		name       string
		take, undo func(*platform)
	}{
		{"shorter timeouts", func(p *platform) {
			p.ConfigureEdited(keys, `"timeoutMs":20000`, `"timeoutMs":150`, `"timeoutMs":1500`, `"timeoutMs":150`)
		}, restored},
		{"routes removed and added again", func(p *platform) { p.ConfigureEdited(keys, `"prefix":"/`, `"prefix":"/no/`) }, restored},
		{"services removed and added again", func(p *platform) {
			p.ConfigureEdited(keys, `"service":"llm"`, `"service":"llm-2"`, `"service":"ledger"`, `"service":"ledger-2"`, `"name":"llm"`, `"name":"llm-2"`, `"name":"ledger"`, `"name":"ledger-2"`)
		}, restored},
		{"fewer connections", func(p *platform) {
			p.ConfigureEdited(keys, `"maxConns":4000`, `"maxConns":1`, `"maxConns":96`, `"maxConns":1`)
		}, restored},
		{"fewer replicas for a request", func(p *platform) { p.ConfigureEdited(keys, `"maxAttempts":2`, `"maxAttempts":1`) }, restored},
		{"load control", func(p *platform) { p.ConfigureUrgency(goodKey) }, restored},
		{"replicas missing for a moment", func(p *platform) {
			for id := range p.Replicas() {
				p.Forget(id)
			}
			p.Configure(goodKey)
		}, func(p *platform) { p.Beat(); p.Configure(goodKey) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(events, 10*time.Millisecond)
			node, view := p.viewed("front-1", "bandung")
			streamed := make([]answer, streams)
			var wg sync.WaitGroup
			for i := range streamed {
				wg.Go(func() { streamed[i] = node.ask("POST", "/ask/x", fmt.Sprint("stream-", i), goodKey) })
			}
			p.until("all streams run", func() bool { return len(p.Fleet.Runs("")) >= streams })
			time.Sleep(100 * time.Millisecond) // each has had some events
			view.Cut((*link.Link).Freeze)
			var read, ordered []answer
			wg.Go(func() { read, _ = node.askAll(orders, "GET", "/read/1", "read-") })
			wg.Go(func() { ordered, _ = node.askAll(orders, "POST", "/order/1", "order-") })
			time.Sleep(200 * time.Millisecond)
			for _, change := range []func(*platform){c.take, c.undo} {
				before := node.Current().Version
				change(p)
				p.until("the new version is in force", func() bool { return node.Current().Version > before })
				time.Sleep(400 * time.Millisecond)
			}
			view.Heal()
			wg.Wait()
			p.wantOwnAnswers(read, "read-")
			p.wantOwnAnswers(ordered, "order-")
			for i, got := range streamed {
				if err := wholeStream(got.body, fmt.Sprint("stream-", i), events); err != nil || got.err != nil {
					t.Errorf("stream %d: %v, %v", i, err, got.err)
				}
			}
			for i := range orders {
				if runs := p.Fleet.Runs(fmt.Sprint("order-", i)); len(runs) != 1 {
					t.Errorf("order %d ran %d times", i, len(runs))
				}
			}
			if t.Failed() {
				t.Log(p.log())
			}
		})
	}
}

// Guards against a node that leaves and ends requests whose sound replicas are silent for a second.
func TestLeavingNodeServesOnWhileReplicasAreSilent(t *testing.T) {
	const events = 60
	p := newPlatform(t)
	p.chains(events, 10*time.Millisecond)
	node, view := p.viewed("front-1", "bandung")
	ended := silence(view.Cut, view.Heal, 1100*time.Millisecond)
	var streamed answer
	var read []answer
	var wg sync.WaitGroup
	wg.Go(func() { streamed = node.ask("POST", "/ask/x", "stream", goodKey) })
	wg.Go(func() { read, _ = node.askAll(5, "GET", "/read/1", "read-") })
	time.Sleep(100 * time.Millisecond)
	node.stop()
	wg.Wait()
	<-ended
	p.wantOwnAnswers(read, "read-")
	if err := wholeStream(streamed.body, "stream", events); err != nil || streamed.err != nil {
		t.Errorf("stream: %v, %v", err, streamed.err)
	}
}
