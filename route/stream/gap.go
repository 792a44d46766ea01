package stream

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// The stall timeout is stallTimeoutFactor times the mean gap plus devFactor times the mean
	// deviation of the gaps. This sum is far above the gaps of a chain with steady load.
	stallTimeoutFactor = 4
	devFactor          = 8
	// meanWeight and devWeight are the weights of a new sample in the moving averages,
	// the same as in TCP's retransmission timer (RFC 6298).
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// gapEstimate is the moving average of a chain's token gaps and of their deviation from
// that average. chainProber uses the same type for the time from a probe to its reply.
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

// timeout returns how long a chain may send nothing before it counts as stalled. The
// timeout adapts to the measured gaps, so that a slow accelerator does not count as
// stalled. Before a gap was measured, the timeout is maxTimeout.
func (g *gapEstimate) timeout(minTimeout, maxTimeout time.Duration) time.Duration {
	if !g.known {
		return maxTimeout
	}
	estimate := time.Duration(stallTimeoutFactor*g.meanNanos + devFactor*g.devNanos)
	return min(max(estimate, minTimeout), max(maxTimeout, minTimeout))
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// gapOf returns the gap of a token, which is the longer of two times: the wait for the
// token, and the sum of the times in its spans. The wait alone is too short if the caller
// reads slowly, because tokens then queue up in the connection.
func gapOf(wait time.Duration, spans []engineapi.Span) time.Duration {
	micros := int64(0)
	for i := range spans {
		micros += spanMicros(spans[i])
	}
	return max(wait, time.Duration(micros)*time.Microsecond)
}

// maxSpanMicros is longer than any stage takes for a token. Averages over the tokens of a replica
// would keep a longer one for hundreds of tokens, in which the replica would not count as stalled.
const maxSpanMicros = int64(time.Minute / time.Microsecond)

// spanMicros returns the time of a span as far as a stage can take it.
func spanMicros(s engineapi.Span) int64 { return min(max(s.Micros, 0), maxSpanMicros) }

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
