package modelservice

import (
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// epochState is one chain's part of the answer.
type epochState struct {
	replica string
	firstEndpoint   string // the chain's first endpoint, which tells the load
	startedAt   time.Time
	// artifact is what the chain's engines run.
	artifact engineapi.Artifact
	// unresponsive is set if the chain had the request and then was not heard of before
	// its first token.
	unresponsive bool
	// gotFirstToken is set with the first token; reported and tokens are the time and
	// the number of tokens since the balancer was last told of the pace.
	gotFirstToken  bool
	lastProgressAt time.Time
	tokensSinceProgress   int
}

// progressInterval is how often the balancer hears of a long answer's pace. An
// answer of seconds on a replica that turned slow would otherwise tell of it
// only at its end.
const progressInterval = time.Second

// recordToken tells the balancer how a chain gets on.
func (c *chainChooser) recordToken(trace engineapi.TokenTrace) {
	if int(trace.Epoch) > len(c.epochs) || trace.Epoch == 0 {
		return
	}
	r := &c.epochs[trace.Epoch-1]
	if trace.Load != nil {
		c.modelCall.Local.ReportLoad(r.firstEndpoint, *trace.Load)
	}
	now := c.modelCall.Now()
	if !r.gotFirstToken {
		r.gotFirstToken = true
		r.lastProgressAt = now
		c.modelCall.Local.Picker.Started(r.replica, now.Sub(r.startedAt))
		return
	}
	r.tokensSinceProgress++
	if elapsed := now.Sub(r.lastProgressAt); elapsed >= progressInterval {
		c.modelCall.Local.Picker.Progress(r.replica, elapsed/time.Duration(r.tokensSinceProgress))
		r.lastProgressAt = now
		r.tokensSinceProgress = 0
	}
}
