package stream

import (
	"context"
	"slices"
	"time"
)

const (
	// slowWindowTokens is how many tokens are looked at together.
	slowWindowTokens = 16
	// slowFactor times the usual gap is far more than a growing batch makes of
	// it, so a burst does not set streams moving.
	slowFactor = 8
	// minSlowGap is a gap that a reader does not feel yet: about what callers
	// are promised for 95 tokens in 100.
	minSlowGap = 40 * time.Millisecond
)

// slowDetector compares the gaps of the last tokens with what is usual for the chain.
// A stage or link that turns slow without stopping is never a stall; an answer
// of hundreds of tokens would crawl to its end.
type slowDetector struct {
	baseline time.Duration
	sum      time.Duration
	count    int
	slow     bool
}

// add takes the gap of one token; slow is set anew with each full window.
func (d *slowDetector) add(gap time.Duration) {
	d.sum += gap
	d.count++
	if d.count < slowWindowTokens {
		return
	}
	mean := d.sum / slowWindowTokens
	d.sum, d.count = 0, 0
	if d.baseline == 0 {
		d.baseline = mean
	}
	d.slow = mean > max(slowFactor*d.baseline, minSlowGap)
}

// leaveSlowChain gives up a chain that has turned slow, if there is another one,
// and once in an answer at most: if every chain is slow, moving on costs a
// prefill each time and wins nothing.
func (e *epoch) leaveSlowChain(ctx context.Context) bool {
	if !e.slowness.slow || e.answer.switchedFromSlow || !e.mayLeaveChain() {
		return false
	}
	e.answer.switchedFromSlow = true
	nextChain, err := e.answer.chooser().Choose(ctx, append(slices.Clone(e.answer.exclude), e.chain.Replica))
	if err != nil {
		return false
	}
	e.answer.nextChain = &nextChain
	e.setEnd(EndSlow, nil)
	return true
}

// mayLeaveChain reports whether another epoch is allowed after this one. The
// chooser must not be asked for a chain that is then not used: it would wait
// for that chain's end.
func (e *epoch) mayLeaveChain() bool {
	o := e.answer.runner.options
	return e.answer.executions+1 < o.MaxExecutions && int(e.number) < o.MaxAttempts
}
