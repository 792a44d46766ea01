package stream

import (
	"context"
	"slices"
	"time"
)

const (
	// paceWindow is how many tokens are looked at together.
	paceWindow = 16
	// slowFactor times the usual gap is far more than a growing batch makes of
	// it, so a burst does not set streams moving.
	slowFactor = 8
	// slowFloor is a gap that a reader does not feel yet: about what callers
	// are promised for 95 tokens in 100.
	slowFloor = 40 * time.Millisecond
)

// pace compares the gaps of the last tokens with what is usual for the chain.
// A stage or link that turns slow without stopping is never a stall; an answer
// of hundreds of tokens would crawl to its end.
type pace struct {
	usual time.Duration
	sum   time.Duration
	count int
	slow  bool
}

// add takes the gap of one token; slow is set anew with each full window.
func (p *pace) add(gap time.Duration) {
	p.sum += gap
	p.count++
	if p.count < paceWindow {
		return
	}
	mean := p.sum / paceWindow
	p.sum, p.count = 0, 0
	if p.usual == 0 {
		p.usual = mean
	}
	p.slow = mean > max(slowFactor*p.usual, slowFloor)
}

// leaveSlow gives up a chain that has turned slow, if there is another one,
// and once in an answer at most: if every chain is slow, moving on costs a
// prefill each time and wins nothing.
func (e *epoch) leaveSlow(ctx context.Context) bool {
	if !e.pace.slow || e.a.leftSlow || !e.mayBeFollowed() {
		return false
	}
	e.a.leftSlow = true
	better, err := e.a.chooser().Choose(ctx, append(slices.Clone(e.a.exclude), e.chain.Replica))
	if err != nil {
		return false
	}
	e.a.better = &better
	e.end(EndSlow, nil)
	return true
}

// mayBeFollowed reports whether another epoch is allowed after this one. The
// chooser must not be asked for a chain that is then not used: it would wait
// for that chain's end.
func (e *epoch) mayBeFollowed() bool {
	o := e.a.r.options
	return e.a.worked+1 < o.MaxEpochs && int(e.number) < o.MaxTries
}
