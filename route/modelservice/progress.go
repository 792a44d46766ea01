package modelservice

import (
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// run is one chain's part of the answer.
type run struct {
	replica string
	first   string // the chain's first endpoint, which tells the load
	since   time.Time
	// artifact is what the chain's engines run.
	artifact engineapi.Artifact
	// silent is set if the chain had the request and then was not heard of before
	// its first token.
	silent bool
	// started is set with the first token; reported and tokens are the time and
	// the number of tokens since the balancer was last told of the pace.
	started  bool
	reported time.Time
	tokens   int
}

// progressInterval is how often the balancer hears of a long answer's pace. An
// answer of seconds on a replica that turned slow would otherwise tell of it
// only at its end.
const progressInterval = time.Second

// token tells the balancer how a chain gets on.
func (c *chooser) token(trace engineapi.TokenTrace) {
	if int(trace.Epoch) > len(c.runs) || trace.Epoch == 0 {
		return
	}
	r := &c.runs[trace.Epoch-1]
	if trace.Load != nil {
		c.answer.Local.ReportLoad(r.first, *trace.Load)
	}
	now := c.answer.Now()
	if !r.started {
		r.started = true
		r.reported = now
		c.answer.Local.Picker.Started(r.replica, now.Sub(r.since))
		return
	}
	r.tokens++
	if elapsed := now.Sub(r.reported); elapsed >= progressInterval {
		c.answer.Local.Picker.Progress(r.replica, elapsed/time.Duration(r.tokens))
		r.reported = now
		r.tokens = 0
	}
}
