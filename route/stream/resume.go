package stream

import (
	"math/bits"
	"sync"
	"time"
)

// resumeCosts learns what it takes a chain to reach its first token, by how
// much it must know and by the way in which it learns it: recomputing all, or
// importing exported KV cache. Which is quicker depends on accelerators and
// links, so it is measured, in buckets of doubling length.
type resumeCosts struct {
	mu      sync.Mutex
	buckets [2][costBuckets]cost
}

type cost struct {
	nanos float64
	known bool
}

const (
	costBuckets = 24
	costWeight  = 1.0 / 4
	recompute   = 0
	imported    = 1
)

func bucketOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), costBuckets-1) }

func (r *resumeCosts) learn(byImport bool, tokens int, took time.Duration) {
	way := recompute
	if byImport {
		way = imported
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.buckets[way][bucketOf(tokens)]
	if !c.known {
		*c = cost{nanos: float64(took), known: true}
		return
	}
	c.nanos += costWeight * (float64(took) - c.nanos)
}
