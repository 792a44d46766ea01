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
	costBuckets     = 24
	costWeight      = 1.0 / 4
	methodRecompute = 0
	methodImport    = 1
)

func bucketOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), costBuckets-1) }

func (r *resumeCosts) record(byImport bool, tokens int, elapsed time.Duration) {
	method := methodRecompute
	if byImport {
		method = methodImport
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.buckets[method][bucketOf(tokens)]
	if !c.known {
		*c = cost{nanos: float64(elapsed), known: true}
		return
	}
	c.nanos += costWeight * (float64(elapsed) - c.nanos)
}

const (
	// minExportRecompute is the least time of a recompute for which asking for an
	// export can pay: below it the answer is on its way again sooner.
	minExportRecompute = 20 * time.Millisecond
	// minTrialRecompute is the least for which an import is tried unmeasured: a
	// first try that proves slower should not be felt by the caller.
	minTrialRecompute = 50 * time.Millisecond
	// exportTimeoutDivisor is the part of the recompute that the wait for an export may
	// cost. A stage that is frozen or cut off does not answer, and waiting
	// longer would lose more than an import could win.
	exportTimeoutDivisor = 4
)

// importPays reports whether importing is expected to be quicker, and how long
// the export may take.
func (r *resumeCosts) importPays(tokens int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recomputeTime, known := r.estimate(methodRecompute, tokens)
	if !known || recomputeTime < minExportRecompute {
		return false, 0
	}
	importTime, known := r.estimate(methodImport, tokens)
	if !known {
		return recomputeTime >= minTrialRecompute, recomputeTime / exportTimeoutDivisor
	}
	return importTime < recomputeTime, recomputeTime / exportTimeoutDivisor
}

// estimate goes by the nearest bucket measured. From a shorter one it scales
// up; a longer one it takes as it is. The caller holds mu.
func (r *resumeCosts) estimate(method, tokens int) (time.Duration, bool) {
	bucket := bucketOf(tokens)
	for distance := range costBuckets {
		if lower := bucket - distance; lower >= 0 && r.buckets[method][lower].known {
			return time.Duration(r.buckets[method][lower].nanos * float64(int(1)<<distance)), true
		}
		if higher := bucket + distance; higher < costBuckets && r.buckets[method][higher].known {
			return time.Duration(r.buckets[method][higher].nanos), true
		}
	}
	return 0, false
}

// prepareResume asks the chain that failed for its KV cache if importing it is
// expected to be quicker than recomputing. Engines keep the cache of a stream
// that has ended for a while; if any stage is gone the export fails, and the
// next chain recomputes.
func (a *answer) prepareResume(ctx context.Context, failed Chain, result AttemptResult) {
	a.kvHandle = ""
	a.exportTime = 0
	if result.NotRun || result.Tokens == 0 {
		return
	}
	pays, timeout := a.runner.costs.importPays(a.contextTokens())
	if !pays {
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := a.runner.client.Export(ctx, failed.Stages[0].Address, a.req.StreamID)
	if err != nil {
		return
	}
	a.kvHandle = reply.Handle
	a.exportTime = time.Since(start)
}
