package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/stall"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/targets"
)

const (
	// firstParts: a path is looked at when half of the time has passed in which the first
	// event is on time.
	firstParts = 2
	// defaultPause is the pause that is on time where the route does not say.
	defaultPause = 200 * time.Millisecond
	// livesFor is how long a part counts as living through which another request has had an
	// event: about the time of one event, less than the shortest silence that is looked at.
	livesFor = 30 * time.Millisecond
	// stallAgain is between two looks at a path that stays silent.
	stallAgain = 400 * time.Millisecond
)

// watch looks after the path of one attempt: when it has gone silent, or one of its
// replicas is found lost by another request, the request is led around.
type watch struct {
	a      *attempt
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// last is when events last came, counted from the attempt's beginning; pace how they
	// usually do, and patience the silence after which the path is looked at.
	last     atomic.Int64
	pace     stall.Detector
	patience atomic.Int64
	// vain is the silence of the last look that found nothing, until the next event.
	vain atomic.Int64

	// others are the replicas that may go on with the request in place of the first:
	// mayReplace if that is lost, mayMove also if it is only slower.
	others              targets.Others
	mayReplace, mayMove bool

	mu      sync.Mutex
	stopped bool
	// busy is set while the request is led, leaving while that is away from a part that
	// leaves; lost is why it must go on at once all the same.
	busy, leaving bool
	lost          string
	// wake ends a pause between two tries to lead it.
	wake chan struct{}
	// next, if set, is booked for the try after this one, which was ended from here;
	// why says for what reason.
	next *targets.Target
	why  string
}

func (a *attempt) watch(ctx context.Context, cancel context.CancelFunc) *watch {
	w := &watch{a: a, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	if a.target.Flight == nil {
		return w
	}
	w.permit(a.q)
	w.timer = time.AfterFunc(a.q.Route.Objective/firstParts, w.silent)
	a.target.Flight.Watch(
		func(replica string) { w.lead("a part of the path is lost: "+replica, false) },
		func(replica string) { w.lead("a part of the path leaves: "+replica, true) },
	)
	return w
}

// permit says who may go on with the request after the attempt that is about to begin.
// A stream that can't be resumed stays where it is. One that was handed to as many
// replicas as its route allows may go back to one of those, if its present first replica
// is lost; speed alone is no reason then.
func (w *watch) permit(q *request) {
	if !q.Route.Idempotent() {
		return
	}
	if len(q.ran)+1 < q.Route.MaxReplicas {
		w.others.Exclude = slices.Clone(q.tried)
		w.mayReplace, w.mayMove = true, q.sends < maxSends
		return
	}
	w.others.FirstOf = slices.Clone(q.ran)
	w.mayReplace = len(q.ran) > 0
}

// heard notes that events have come.
func (w *watch) heard() {
	now := w.a.q.s.Now().Sub(w.a.begun)
	if vain := w.vain.Swap(0); vain > 0 {
		w.pace.FalseAlarm(time.Duration(vain))
	}
	if last := w.last.Swap(int64(now)); last > 0 {
		w.pace.ObserveGap(now - time.Duration(last))
	}
	if w.timer == nil {
		return
	}
	w.a.target.Flight.Heard()
	patience := w.pace.Timeout(w.a.q.maxPause())
	w.patience.Store(int64(patience))
	w.timer.Reset(patience)
}

// maxPause is the longest pause between two events that is on time.
func (q *request) maxPause() time.Duration {
	return cmp.Or(q.Route.MaxPause, defaultPause)
}

// silentFor is how long no event has come in this attempt.
func (w *watch) silentFor() time.Duration {
	return w.a.q.s.Now().Sub(w.a.begun) - time.Duration(w.last.Load())
}

func (w *watch) stop() {
	w.mu.Lock()
	w.stopped = true
	next := w.next
	w.next = nil
	w.mu.Unlock()
	if next != nil {
		w.release(*next)
	}
	if w.timer != nil {
		w.timer.Stop()
	}
}

// silent finds out which replicas of the path no longer answer.
func (w *watch) silent() {
	if w.ctx.Err() != nil {
		return
	}
	path := w.a.target.Flight.Path()
	doubted := w.a.target.Flight.Unheard(livesFor)
	addresses := make([]string, len(doubted))
	replicas := make(map[string]string, len(doubted))
	for i, part := range doubted {
		addresses[i] = part.Address
		replicas[part.Address] = part.Replica
	}
	lost := w.a.q.s.Prober.Lost(w.ctx, connprobe.Silence, addresses)
	if len(lost) == 0 {
		w.lookAgain(path)
		return
	}
	fresh := false
	for _, loss := range lost {
		replica := replicas[loss.Address]
		// This leads all requests that run through it around.
		if w.a.target.Flight.Suspect(replica, loss.Silent) {
			fresh = true
			w.a.q.log.Info("replica out of reach", "service", w.a.q.Service, "replica", replica, "address", loss.Address, "silent", loss.Silent)
		}
	}
	if !fresh {
		w.lead("a part of the path is lost", false)
	}
}

// lookAgain looks at a path that is silent although all of it can be reached: again when
// it has been silent for twice as long, and once the pause is late its replicas are asked
// for their pace, which is paid for.
func (w *watch) lookAgain(path paths.Path) {
	silent, late := w.silentFor(), w.a.q.maxPause()
	w.vain.Store(int64(silent))
	if silent < late {
		w.timer.Reset(stall.RecheckAfter(silent, late))
		return
	}
	w.timer.Reset(stallAgain)
	w.inspect(path)
}

// inspect asks the parts of a path that all can be reached how fast they are.
func (w *watch) inspect(path paths.Path) {
	q := w.a.q
	for _, part := range path {
		go func() {
			account, fresh, err := q.s.Reports.Ask(w.ctx, part.Address, part.Replica)
			if err != nil || !fresh {
				return // another request has learned it, or there is nothing to learn
			}
			if w.a.target.Flight.SetPace(part.Replica, account.Pace) {
				q.log.Info("replica's pace", "service", q.Service, "replica", part.Replica, "domain", part.Domain, "pace", account.Pace)
			}
		}()
	}
}
