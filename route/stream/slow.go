package stream

import (
	"context"
	"slices"
	"time"
)

const (
	// slowWindowTokens is the number of tokens in a window, whose mean gap is compared
	// with the baseline gap (see slowDetector).
	slowWindowTokens = 16
	// A chain is slow only if the mean gap of a window is above slowFactor times the
	// baseline gap. Gaps also grow when an engine runs more streams in a batch, but by far
	// less than slowFactor. A burst of requests therefore does not make streams change
	// chains.
	slowFactor = 8
	// minSlowGap is the longest mean gap of a window that never counts as slow. A person
	// who reads the answer does not notice such a gap. The value is close to the
	// 95th percentile of token gaps that callers are promised.
	minSlowGap = 40 * time.Millisecond
)

// slowDetector detects that a chain has turned slow during an epoch. After each window of
// slowWindowTokens tokens, add compares the window's mean gap with the baseline gap. The
// baseline gap is the chain's mean gap at the start of the epoch. If no gap of the chain was
// known then, the mean gap of the first window is used.
//
// A stage or link may turn slow although no gap exceeds the stall timeout. Without the
// detector, an answer of hundreds of tokens would then stay slow to its end.
type slowDetector struct {
	baselineGap time.Duration
	gapSum      time.Duration
	gapCount    int
	slow        bool
}

// add adds the gap of one token. After each window it sets the field slow.
func (d *slowDetector) add(gap time.Duration) {
	d.gapSum += gap
	d.gapCount++
	if d.gapCount < slowWindowTokens {
		return
	}
	mean := d.gapSum / slowWindowTokens
	d.gapSum, d.gapCount = 0, 0
	if d.baselineGap == 0 {
		d.baselineGap = mean
	}
	d.slow = mean > max(slowFactor*d.baselineGap, minSlowGap)
}

// leaveSlowChain ends the epoch if its chain has turned slow and the chooser returns
// another chain, and reports whether the epoch was ended. An answer asks the chooser at most
// once for this reason, because each change of chain costs a prefill and gains
// nothing if every chain is slow.
func (e *epoch) leaveSlowChain(ctx context.Context) bool {
	if !e.slowness.slow || e.answer.leftSlowChain || !e.mayLeaveChain() {
		return false
	}
	e.answer.leftSlowChain = true
	nextChain, err := e.answer.chooser().Choose(ctx, append(slices.Clone(e.answer.excludedReplicas), e.chain.Replica))
	if err != nil {
		return false
	}
	e.answer.nextChain = &nextChain
	e.setEnd(EndSlow, nil)
	return true
}

// mayLeaveChain reports whether another epoch is allowed after this one. The chooser
// expects a call of Ended for each chain that it returns. Without this check, the chooser
// could return a chain on which no epoch runs, and Ended would not be called.
func (e *epoch) mayLeaveChain() bool {
	o := e.answer.runner.options
	return e.answer.executions+1 < o.MaxExecutions && e.answer.attempts+1 < o.MaxAttempts
}
