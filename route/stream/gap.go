package stream

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// The stall timeout is gapFactor times the mean gap plus devFactor times its
	// mean deviation, far above the gaps of a chain with steady load.
	gapFactor = 4
	devFactor = 8
	// Weights of a new sample in the moving averages, as in TCP's retransmission
	// timer (RFC 6298).
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// gapEstimate is the moving average and mean deviation of the time between a
// chain's tokens, in nanoseconds.
type gapEstimate struct {
	meanNanos, devNanos float64
	known               bool
}

func (g *gapEstimate) sample(gap time.Duration) {
	nanos := float64(gap)
	if !g.known {
		*g = gapEstimate{meanNanos: nanos, devNanos: nanos / 2, known: true}
		return
	}
	g.devNanos += devWeight * (abs(nanos-g.meanNanos) - g.devNanos)
	g.meanNanos += meanWeight * (nanos - g.meanNanos)
}

// timeout returns the wait after which a chain counts as stalled. It adapts to the
// measured gaps, so that a slow accelerator is not taken for a stalled one.
func (g *gapEstimate) timeout(minTimeout, maxTimeout time.Duration) time.Duration {
	if !g.known {
		return maxTimeout
	}
	estimate := time.Duration(gapFactor*g.meanNanos + devFactor*g.devNanos)
	return min(max(estimate, minTimeout), max(maxTimeout, minTimeout))
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// gapOf returns the gap before a token: the wait for it, or the sum of the stages'
// times if that is longer. The wait alone is too short when the caller reads slowly
// and tokens queue up in the connection.
func gapOf(wait time.Duration, spans []engineapi.Span) time.Duration {
	micros := int64(0)
	for i := range spans {
		micros += spans[i].Micros
	}
	return max(wait, time.Duration(micros)*time.Microsecond)
}

const (
	gapShards      = 16
	maxGapsInShard = 512
)

// gapTable holds the gap estimates of all replicas, shared by all streams.
type gapTable struct {
	seed   maphash.Seed
	shards [gapShards]gapShard
}

type gapShard struct {
	mu   sync.Mutex
	gaps map[string]gapEstimate
}

func newGapTable() *gapTable {
	t := &gapTable{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].gaps = map[string]gapEstimate{}
	}
	return t
}

func (t *gapTable) shard(replica string) *gapShard {
	return &t.shards[maphash.String(t.seed, replica)%gapShards]
}

func (t *gapTable) get(replica string) gapEstimate {
	s := t.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaps[replica]
}

func (t *gapTable) put(replica string, g gapEstimate) {
	s := t.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.gaps) >= maxGapsInShard {
		clear(s.gaps)
	}
	s.gaps[replica] = g
}
