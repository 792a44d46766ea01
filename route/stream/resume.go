package stream

import (
	"context"
	"math/bits"
	"sync"
	"time"
)

// resumeCosts estimates the time to the first token of a chain, by the number of
// context tokens and by the method: recompute the context, or import exported KV
// cache. Which one is faster depends on accelerators and links, so both are measured,
// in buckets of doubling length.
type resumeCosts struct {
	mu      sync.Mutex
	buckets [2][costBuckets]cost
}

type cost struct {
	meanNanos float64
	known     bool
}

const (
	costBuckets      = 24
	costSampleWeight = 1.0 / 4
	methodRecompute  = 0
	methodImport     = 1
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
		*c = cost{meanNanos: float64(elapsed), known: true}
		return
	}
	c.meanNanos += costSampleWeight * (float64(elapsed) - c.meanNanos)
}

const (
	// minExportRecompute is the shortest recompute time for which an export is
	// requested. Shorter recomputes finish before an export could.
	minExportRecompute = 20 * time.Millisecond
	// minTrialRecompute is the shortest recompute time for which an import is tried
	// without a measurement. If the first import proves slower, the caller should not
	// notice it.
	minTrialRecompute = 50 * time.Millisecond
	// exportTimeoutDivisor: the export may take the recompute time divided by it. A
	// frozen or unreachable stage does not answer, and a longer wait would lose more
	// time than an import could save.
	exportTimeoutDivisor = 4
)

// preferImport reports whether importing is expected to be faster than recomputing, and
// returns the timeout of the export.
func (r *resumeCosts) preferImport(tokens int) (bool, time.Duration) {
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

// estimate returns the cost in the nearest measured bucket. The cost of a bucket of
// shorter contexts is scaled up; that of a longer one is used unchanged. The caller
// holds mu.
func (r *resumeCosts) estimate(method, tokens int) (time.Duration, bool) {
	bucket := bucketOf(tokens)
	for distance := range costBuckets {
		if lower := bucket - distance; lower >= 0 && r.buckets[method][lower].known {
			return time.Duration(r.buckets[method][lower].meanNanos * float64(int(1)<<distance)), true
		}
		if higher := bucket + distance; higher < costBuckets && r.buckets[method][higher].known {
			return time.Duration(r.buckets[method][higher].meanNanos), true
		}
	}
	return 0, false
}

// prepareResume requests an export of the KV cache from the failed chain if importing
// it is expected to be faster than recomputing. Engines keep the KV cache of an ended
// stream for a while. If a stage is unavailable the export fails and the next chain
// recomputes the context.
func (a *answer) prepareResume(ctx context.Context, failed Chain, result AttemptResult) {
	a.kvHandle = ""
	a.exportTime = 0
	if result.NotRun || result.Tokens == 0 {
		return
	}
	preferred, timeout := a.runner.costs.preferImport(a.contextTokens())
	if !preferred {
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
