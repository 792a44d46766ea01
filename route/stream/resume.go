package stream

import (
	"context"
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

const (
	// worthAsking is the least time of a recompute for which asking for an
	// export can pay: below it the answer is on its way again sooner.
	worthAsking = 20 * time.Millisecond
	// worthExploring is the least for which an import is tried unmeasured: a
	// first try that proves slower should not be felt by the caller.
	worthExploring = 50 * time.Millisecond
	// exportPart is the part of the recompute that the wait for an export may
	// cost. A stage that is frozen or cut off does not answer, and waiting
	// longer would lose more than an import could win.
	exportPart = 4
)

// importPays reports whether importing is expected to be quicker, and how long
// the export may take.
func (r *resumeCosts) importPays(tokens int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again, known := r.estimate(recompute, tokens)
	if !known || again < worthAsking {
		return false, 0
	}
	byImport, known := r.estimate(imported, tokens)
	if !known {
		return again >= worthExploring, again / exportPart
	}
	return byImport < again, again / exportPart
}

// estimate goes by the nearest bucket measured. From a shorter one it scales
// up; a longer one it takes as it is. The caller holds mu.
func (r *resumeCosts) estimate(way, tokens int) (time.Duration, bool) {
	at := bucketOf(tokens)
	for distance := range costBuckets {
		if lower := at - distance; lower >= 0 && r.buckets[way][lower].known {
			return time.Duration(r.buckets[way][lower].nanos * float64(int(1)<<distance)), true
		}
		if higher := at + distance; higher < costBuckets && r.buckets[way][higher].known {
			return time.Duration(r.buckets[way][higher].nanos), true
		}
	}
	return 0, false
}

// prepareResume asks the chain that failed for its KV cache if importing it is
// expected to be quicker than recomputing. Engines keep the cache of a stream
// that has ended for a while; if any stage is gone the export fails, and the
// next chain recomputes.
func (a *answer) prepareResume(ctx context.Context, failed Chain, result AttemptResult) {
	a.handle = ""
	a.exporting = 0
	if result.NotRun || result.Tokens == 0 {
		return
	}
	pays, timeout := a.r.resumes.importPays(a.contextTokens())
	if !pays {
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := a.r.client.Export(ctx, failed.Stages[0].Address, a.req.Stream)
	if err != nil {
		return
	}
	a.handle = reply.Handle
	a.exporting = time.Since(start)
}
