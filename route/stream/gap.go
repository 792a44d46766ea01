package stream

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// The wait for a token is gapFactor times the mean gap plus devFactor
	// times its mean deviation: far outside what a steady chain does.
	gapFactor = 4
	devFactor = 8
	// A sample moves the mean by 1/8 and the deviation by 1/4, as in TCP's
	// retransmission timer.
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// gapEstimate follows the time between tokens of a chain, in nanoseconds.
type gapEstimate struct {
	mean, dev float64
	known     bool
}

func (g *gapEstimate) sample(gap time.Duration) {
	x := float64(gap)
	if !g.known {
		*g = gapEstimate{mean: x, dev: x / 2, known: true}
		return
	}
	g.dev += devWeight * (abs(x-g.mean) - g.dev)
	g.mean += meanWeight * (x - g.mean)
}

// timeout is the wait after which a chain counts as stalled. It follows what
// was measured, so that a slow accelerator is not cut off for being slow.
func (g *gapEstimate) timeout(minTimeout, maxTimeout time.Duration) time.Duration {
	if !g.known {
		return maxTimeout
	}
	estimate := time.Duration(gapFactor*g.mean + devFactor*g.dev)
	return min(max(estimate, minTimeout), max(maxTimeout, minTimeout))
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// gapOf is the gap that a token shows: the wait for it, or the time that the
// stages say it took if that is longer. The wait alone is too short when the
// caller reads slowly and tokens pile up.
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

// gapTable keeps the estimates of all replicas between streams.
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
