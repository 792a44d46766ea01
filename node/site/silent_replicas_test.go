package site

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
)

// Guards against streams that a node cuts because all replicas are silent for a second while a new
// configuration takes effect, although each replica is sound and goes on.
func TestStreamsOutliveSilentReplicas(t *testing.T) {
	const streams, events = 30, 150
	for _, c := range []struct {
		name    string
		silence func(*link.Link)
		lasts   time.Duration
	}{
		{"new connections hang", func(l *link.Link) { l.Partition(link.Both) }, time.Second},
		{"new connections are accepted", (*link.Link).Freeze, 1300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(events, 10*time.Millisecond)
			node, view := p.viewed("front-1", "bandung")
			answers := make([]answer, streams)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					answers[i] = node.ask("POST", "/ask/x", fmt.Sprint("s", i), goodKey)
				})
			}
			p.until("all streams run", func() bool { return len(p.Fleet.Runs("")) >= streams })
			time.Sleep(200 * time.Millisecond) // each has had some events
			p.Configure(goodKey)
			// The others still accept connections when the node finds out about the first one.
			first := p.Fleet.Runs("")[0].Replica
			view.CutSome(c.silence, func(id string) bool { return id == first })
			time.Sleep(60 * time.Millisecond)
			view.Cut(c.silence)
			time.Sleep(c.lasts / 2)
			p.Configure(goodKey)
			time.Sleep(c.lasts / 2)
			view.Heal()
			wg.Wait()
			for i, got := range answers {
				if err := wholeStream(got.body, fmt.Sprint("s", i), events); err != nil || got.err != nil {
					t.Errorf("stream %d: %v, %v", i, err, got.err)
				}
			}
			if t.Failed() {
				t.Log(p.log())
			}
		})
	}
}
