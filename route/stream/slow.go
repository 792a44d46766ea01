package stream

import (
	"context"
	"slices"
	"time"
)

const (
	// slowWindowTokens is the number of tokens over which the mean gap is taken.
	slowWindowTokens = 16
	// slowFactor times the baseline gap is far above the gaps of a growing batch, so
	// a burst of requests does not make streams change chains.
	slowFactor = 8
	// minSlowGap is the largest gap that never counts as slow. A reader does not
	// notice it, and it is about the 95th percentile of token gaps that callers are
	// promised.
	minSlowGap = 40 * time.Millisecond
)

// slowDetector compares the mean gap of the last tokens with the chain's baseline.
// A stage or link that turns slow but does not stop never exceeds the stall
// timeout, and without the detector an answer of hundreds of tokens would stay slow
// to its end.
type slowDetector struct {
	baselineGap time.Duration
	gapSum      time.Duration
	gapCount    int
	slow        bool
}

// add adds the gap of one token. It updates slow at the end of each window.
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

// leaveSlowChain ends the epoch of a chain that has turned slow if the chooser has
// another chain. It does so at most once per answer: if every chain is slow, each
// change costs a prefill and gains nothing.
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

// mayLeaveChain reports whether another epoch is allowed after this one. The
// chooser must not be asked for a chain that is then not used, because it expects
// Ended for each chain that it returns.
func (e *epoch) mayLeaveChain() bool {
	o := e.answer.runner.options
	return e.answer.executions+1 < o.MaxExecutions && int(e.number) < o.MaxAttempts
}
