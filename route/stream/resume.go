package stream

import (
	"context"
	"math/bits"
	"sync"
	"time"
)

// resumeCosts estimates how long a chain needs until its first token. The context of the
// stream, which is the prompt and the answer so far, must first be in the chain's KV
// cache. There are two methods: the chain recomputes the context, or it imports the KV
// cache that the failed chain has exported. Which method is faster depends on
// accelerators and links, so both are measured, by the number of context tokens in
// buckets of doubling size.
type resumeCosts struct {
	mu      sync.Mutex
	buckets [2][costBuckets]cost
}

// cost is the moving average of the times to the first token measured for one bucket.
type cost struct {
	meanNanos float64
	known     bool
}

const (
	costBuckets       = 24
	costSampleWeight  = 1.0 / 4
	resumeByRecompute = 0
	resumeByImport    = 1
)

func bucketOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), costBuckets-1) }

func (r *resumeCosts) record(byImport bool, tokens int, elapsed time.Duration) {
	method := resumeByRecompute
	if byImport {
		method = resumeByImport
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
	// An export of the failed chain's KV cache is requested only if recomputing the
	// context is expected to take at least minRecomputeTimeForExport. A shorter recompute
	// ends before an export could.
	minRecomputeTimeForExport = 20 * time.Millisecond
	// minTrialRecompute is the shortest recompute time for which an import is tried
	// before any import was measured. Such a recompute takes so long that the caller
	// should not notice if the first import takes longer.
	minTrialRecompute = 50 * time.Millisecond
	// The timeout of an export is the recompute time divided by exportTimeoutDivisor. A
	// frozen or unreachable stage does not answer, and a longer wait for it would lose
	// more time than an import could save.
	exportTimeoutDivisor = 4
)

// preferImport reports whether importing a context of the given number of tokens is
// expected to be faster than recomputing it, or should be tried for a first measurement.
// preferImport also returns the timeout of the export.
func (r *resumeCosts) preferImport(tokens int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recomputeTime, known := r.estimate(resumeByRecompute, tokens)
	if !known || recomputeTime < minRecomputeTimeForExport {
		return false, 0
	}
	importTime, known := r.estimate(resumeByImport, tokens)
	if !known {
		return recomputeTime >= minTrialRecompute, recomputeTime / exportTimeoutDivisor
	}
	return importTime < recomputeTime, recomputeTime / exportTimeoutDivisor
}

// estimate returns the expected time of a method from the nearest measured bucket. The
// time measured for shorter contexts is scaled up to the given number of tokens. The time
// measured for longer contexts is used unchanged. The caller holds mu.
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

// prepareResume asks the failed chain to export the stream's KV cache, if the next chain
// should import the KV cache rather than recompute the context. A chain that sent no token
// is not asked. Engines keep the KV cache of an
// ended stream for a while. If a stage is unavailable, the export fails and the next
// chain recomputes the context.
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
