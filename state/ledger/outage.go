package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
)

// Pauses between two probes of a store that is down; they double. The first
// ones are short because most failures are a moment's; the longest is what an
// order may be refused for after the store is back.
const (
	probePause    = 20 * time.Millisecond
	maxProbePause = 250 * time.Millisecond
)

// outage remembers that the store is down, so that claims are refused at once.
// Without it each order waits until its own reads have been repeated and have
// failed (145 ms, docs/BENCH.md) to be told what the node knows already.
//
// A read marks the store as down once all its repeats have failed. Results and
// releases are tried all the same: they are kept for later if they fail.
type outage struct {
	ledger *Ledger
	key    string

	mu     sync.Mutex
	down   bool
	probes sync.WaitGroup
}

// known says whether the store is known to be down.
func (o *outage) known() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

// note takes the end of a read. This node's own spent budget is no outage.
func (o *outage) note(err error) {
	if !errors.Is(err, store.ErrUnavailable) || o.ledger.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return
	}
	o.down = true
	o.probes.Go(o.probe)
}

// probe reads until the store answers: while claims are refused nothing else
// would find out that it does.
func (o *outage) probe() {
	for pause := probePause; !o.answers(); pause = min(2*pause, maxProbePause) {
		if !o.ledger.sleep(pause) {
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = false
}

func (o *outage) answers() bool {
	ctx, cancel := context.WithTimeout(o.ledger.ctx, o.ledger.config.CallTimeout)
	defer cancel()
	_, err := o.ledger.store.Get(ctx, o.key)
	return err == nil
}
