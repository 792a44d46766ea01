package modelservice

import (
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// epochState is the state of one epoch: the part of the answer that one chain produces.
type epochState struct {
	replica       string
	firstEndpoint string // the chain's first endpoint, which reports the load
	startedAt     time.Time
	// artifact is what the chain's engines run: versions of weights and adapter.
	artifact engineapi.Artifact
	// unresponsive is set if the chain received the request and became unresponsive
	// before its first token.
	unresponsive bool
	// silent is set if the epoch ended because the chain sent nothing in time.
	silent        bool
	gotFirstToken bool
	// lastProgressAt is the time of the last progress report to the balancer;
	// tokensSinceProgress is the number of tokens since that report.
	lastProgressAt      time.Time
	tokensSinceProgress int
}

// progressInterval is the interval of progress reports to the balancer. Without them,
// the balancer would learn that a replica has become slow only at the end of an answer,
// which may take many seconds.
const progressInterval = time.Second

// recordToken reports the progress of a chain and the load in the token's trace.
func (c *chainChooser) recordToken(trace engineapi.TokenTrace) {
	if int(trace.Epoch) > len(c.epochs) || trace.Epoch == 0 {
		return
	}
	c.call.guarded.Event()
	r := &c.epochs[trace.Epoch-1]
	if trace.Load != nil {
		c.call.Local.RecordLoad(r.firstEndpoint, *trace.Load)
	}
	now := c.call.Now()
	if !r.gotFirstToken {
		r.gotFirstToken = true
		r.lastProgressAt = now
		c.call.Local.Picker.ResponseStarted(r.replica, now.Sub(r.startedAt))
		return
	}
	r.tokensSinceProgress++
	if elapsed := now.Sub(r.lastProgressAt); elapsed >= progressInterval {
		c.call.Local.Picker.Progress(r.replica, elapsed/time.Duration(r.tokensSinceProgress))
		r.lastProgressAt = now
		r.tokensSinceProgress = 0
	}
}
