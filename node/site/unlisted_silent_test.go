package site

import (
	"net"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

// Guards against streams that stay at a first replica that died without a word, because the replica
// is no longer listed when the node finds that it accepts no connection.
func TestStreamLeavesDeadReplicaThatIsNoLongerListed(t *testing.T) {
	const (
		events    = 100
		pause     = 10 * time.Millisecond
		leftAfter = 1500 * time.Millisecond
	)
	p := newPlatform(t)
	p.chains(events, pause)
	node := p.node(p.settings("front-1"))
	answers := make(chan answer, 1)
	began := time.Now()
	go func() { answers <- node.ask("POST", "/ask/x", "s", goodKey) }()
	p.until("the stream runs", func() bool { return len(p.Fleet.Runs("s")) > 0 })
	time.Sleep(200 * time.Millisecond) // it has had some events
	id := p.Fleet.Runs("s")[0].Replica
	p.Replica(id).Silence(time.Hour, replica.ShortQueue)
	fillQueue(t, p.Replica(id).Address)
	p.Unlist(id)
	got := <-answers
	if err := wholeStream(got.body, "s", events); err != nil || got.err != nil {
		t.Errorf("%v, %v", err, got.err)
	}
	if took := time.Since(began); took > events*pause+leftAfter {
		t.Errorf("the stream took %v", took)
	}
	if t.Failed() {
		t.Log(p.log())
	}
}

// fillQueue opens connections to an address until one hangs.
func fillQueue(t *testing.T, address string) {
	t.Helper()
	for range 2*replica.ShortQueue + 2 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("its queue is never full")
}
