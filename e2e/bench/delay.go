package bench

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/standin/engine"
)

const (
	probes = 400
	// probeWarm probes open connections and fill caches, and don't count.
	probeWarm = 40
	// probePause between probes: they measure delay, not throughput.
	probePause = 5 * time.Millisecond
	// backgroundStep of 1,000 streams makes 10,000 tokens a second, which is a
	// node's share at the target size.
	backgroundStep    = 100 * time.Millisecond
	backgroundEngines = 8
	backgroundSlots   = 256
	// backgroundTokens keeps a stream open for far longer than the measure, and
	// its cost below that of a long job, of which a node lets fewer in.
	backgroundTokens = 1800
)

// delay compares the first token by way of one node with that of the stand-in
// itself, while the node has other streams open.
func delay(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	direct, err := t.engines("probe", 1, engine.Config{Slots: backgroundSlots})
	if err != nil {
		return err
	}
	if _, err := t.engines("steady", backgroundEngines, engine.Config{Slots: backgroundSlots, Queue: engineQueue, Step: backgroundStep}); err != nil {
		return err
	}
	t.doc.Policy.ConcurrentPerReplica = backgroundSlots
	if err := t.start(ctx, 1); err != nil {
		return err
	}
	result := table{
		title:   "First-token delay added by one node",
		columns: []string{"open streams", "tokens/s", "direct p50", "p95", "p99", "by the node p50", "p95", "p99", "added p50", "added p95", "node's cores", "bench's cores", "CPU a token"},
		note:    fmt.Sprintf("%d probes each way, direct and by the node in turn, of an engine that takes no time; added: difference of the percentiles. CPU a token: the node's, with the probes' own in it.", probes),
	}
	for _, n := range []int{1, 100, 1000} {
		if err := t.delayBeside(ctx, n, direct[0], &result); err != nil {
			return err
		}
	}
	s.add(result)
	return nil
}

func (t *site) delayBeside(ctx context.Context, n int, direct string, result *table) error {
	b, err := t.openStreams(ctx, n, "steady", backgroundTokens)
	if err != nil {
		return err
	}
	defer b.close()
	node := t.nodes[0]
	if _, _, err := probe(ctx, probeWarm, direct, node.addresses.Callers); err != nil {
		return err
	}
	nodeUse, err := beginUsage(node.pid())
	if err != nil {
		return err
	}
	own, err := beginUsage(os.Getpid())
	if err != nil {
		return err
	}
	tokens := b.tokens()
	bare, routed, err := probe(ctx, probes, direct, node.addresses.Callers)
	if err != nil {
		return err
	}
	tokens = b.tokens() - tokens
	rate := float64(tokens) / time.Since(own.began).Seconds()
	used, err := nodeUse.total()
	if err != nil {
		return err
	}
	cores, _ := nodeUse.cores()
	benchCores, _ := own.cores()
	result.row(n, rate, bare.at(50), bare.at(95), bare.at(99), routed.at(50), routed.at(95), routed.at(99),
		routed.at(50)-bare.at(50), routed.at(95)-bare.at(95), cores, benchCores, used/time.Duration(max(tokens, 1)))
	return nil
}

// probe asks for one token at a time, directly and by the node in turn.
func probe(ctx context.Context, n int, direct, node string) (bare, routed *times, err error) {
	bare, routed = newTimes(), newTimes()
	for i := range n {
		for address, into := range map[string]*times{direct: bare, node: routed} {
			a := ask(ctx, question{address: address, key: teamKey(i), model: "probe", tokens: 1})
			if !a.whole || a.tokens != 1 {
				return nil, nil, Error.New("probe of %s: status %d, %v", address, a.status, a.err)
			}
			into.record(a.firstToken)
			time.Sleep(probePause)
		}
	}
	return bare, routed, nil
}

// streams are answers that stay open.
type streams struct {
	cancel context.CancelFunc
	open   sync.WaitGroup
	mu     sync.Mutex
	count  int
	// began is told of each stream's first token.
	began chan struct{}
}

// openStreams opens n streams by the first node and waits for the first token
// of each.
func (t *site) openStreams(ctx context.Context, n int, model string, tokens int) (*streams, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &streams{cancel: cancel, began: make(chan struct{}, n)}
	ended := make(chan answer, n)
	for i := range n {
		q := question{address: t.nodes[0].addresses.Callers, key: teamKey(i), model: model, tokens: tokens, onToken: b.take}
		b.open.Go(func() { ended <- ask(ctx, q) })
	}
	for range n {
		select {
		case <-b.began:
		case a := <-ended:
			b.close()
			return nil, Error.New("a stream ended early: status %d, %d tokens, %v", a.status, a.tokens, a.err)
		case <-ctx.Done():
			b.close()
			return nil, Error.Wrap(ctx.Err())
		}
	}
	return b, nil
}

func (b *streams) take(n int) {
	b.mu.Lock()
	b.count++
	b.mu.Unlock()
	if n == 1 {
		b.began <- struct{}{}
	}
}

func (b *streams) tokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// close ends the streams and waits until they have ended.
func (b *streams) close() {
	b.cancel()
	b.open.Wait()
}
