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
	coreTime = 2 * time.Second
	// coreTokens is the length of answers when tokens are measured.
	coreTokens = 500
	coreSlots  = 64
)

// core measures what requests and tokens cost one node, by callers who ask
// again as soon as they have their answer.
func core(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	if _, err := t.engines("quick", 2, engine.Config{Slots: coreSlots, Queue: engineQueue}); err != nil {
		return err
	}
	t.doc.Policy.ConcurrentPerReplica = coreSlots
	if err := t.start(ctx, 1); err != nil {
		return err
	}
	result := table{
		title:   "Requests and tokens of one node, by processor time",
		columns: []string{"answers of", "callers", "requests/s", "tokens/s", "node's cores", "bench's cores", "requests/s a core", "tokens/s a core", "CPU a request"},
		note:    "Engines and callers, in the bench's process, take no time but the processor's. Log lines of the node are written (JSON, info) and dropped by the bench.",
	}
	for _, tokens := range []int{1, coreTokens} {
		for _, callers := range []int{1, 4, 16, 64} {
			if err := t.coreRow(ctx, tokens, callers, &result); err != nil {
				return err
			}
		}
	}
	s.add(result)
	return nil
}

func (t *site) coreRow(ctx context.Context, tokens, callers int, result *table) error {
	node, err := beginUsage(t.nodes[0].pid())
	if err != nil {
		return err
	}
	own, err := beginUsage(os.Getpid())
	if err != nil {
		return err
	}
	requests, got, err := t.askOn(ctx, tokens, callers)
	if err != nil {
		return err
	}
	seconds := time.Since(node.began).Seconds()
	used, err := node.total()
	if err != nil {
		return err
	}
	cores := used.Seconds() / seconds
	benchCores, _ := own.cores()
	result.row(fmt.Sprint(tokens, " tokens"), callers, float64(requests)/seconds, float64(got)/seconds, cores, benchCores,
		float64(requests)/used.Seconds(), float64(got)/used.Seconds(), used/time.Duration(max(requests, 1)))
	return nil
}

// askOn has callers ask one after the other for coreTime and returns the whole
// answers and the tokens that came.
func (t *site) askOn(ctx context.Context, tokens, callers int) (requests, got int, err error) {
	var mu sync.Mutex
	var open sync.WaitGroup
	end := time.Now().Add(coreTime)
	for i := range callers {
		open.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				a := ask(ctx, question{address: t.nodes[0].addresses.Callers, key: teamKey(i), model: "quick", tokens: tokens})
				mu.Lock()
				got += a.tokens
				if a.whole {
					requests++
				} else if err == nil {
					err = Error.New("status %d, %d tokens, %v", a.status, a.tokens, a.err)
				}
				mu.Unlock()
				if !a.whole {
					return
				}
			}
		})
	}
	open.Wait()
	return requests, got, err
}

const (
	// slowStep keeps the tokens few, so that memory is what is measured.
	slowStep    = time.Second
	slowEngines = 10
	slowSlots   = 640
	slowTokens  = 1000
	// streamSettle lets the connections of the streams' start go quiet.
	streamSettle = 3 * time.Second
)

// streamMemory measures what an open stream costs a node in memory and its
// tokens in processor time.
func streamMemory(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	if _, err := t.engines("slow", slowEngines, engine.Config{Slots: slowSlots, Queue: engineQueue, Step: slowStep}); err != nil {
		return err
	}
	t.doc.Policy.ConcurrentPerReplica = slowSlots
	if err := t.start(ctx, 1); err != nil {
		return err
	}
	empty, err := residentBytes(t.nodes[0].pid())
	if err != nil {
		return err
	}
	result := table{
		title:   "Memory of open streams on one node",
		columns: []string{"open streams", "resident MB", "above empty, KB a stream", "tokens/s", "node's cores", "CPU a token"},
		note:    fmt.Sprintf("A token a second each. Empty: %.1f MB.", empty/1e6),
	}
	for _, n := range []int{1, 100, 1000, 5000} {
		if err := t.streamRow(ctx, n, empty, &result); err != nil {
			return err
		}
	}
	s.add(result)
	return nil
}

func (t *site) streamRow(ctx context.Context, n int, empty float64, result *table) error {
	b, err := t.openStreams(ctx, n, "slow", slowTokens)
	if err != nil {
		return err
	}
	defer b.close()
	time.Sleep(streamSettle)
	use, err := beginUsage(t.nodes[0].pid())
	if err != nil {
		return err
	}
	before := b.tokens()
	time.Sleep(streamSettle)
	tokens := b.tokens() - before
	used, err := use.total()
	if err != nil {
		return err
	}
	resident, err := residentBytes(t.nodes[0].pid())
	if err != nil {
		return err
	}
	seconds := time.Since(use.began).Seconds()
	result.row(n, resident/1e6, (resident-empty)/1e3/float64(n), float64(tokens)/seconds, used.Seconds()/seconds, used/time.Duration(max(tokens, 1)))
	return nil
}
