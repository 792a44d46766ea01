package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/targets"
)

const (
	// silenceParts: a path is looked at when a stream has been silent for half of what
	// is on time, so that what is found out can still help; and its replicas are asked
	// for their pace, which is paid for, when it is late.
	silenceParts = 2
	// defaultPause is the pause that is on time where the route does not say.
	defaultPause = 200 * time.Millisecond
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
	// last is when events last came, counted from the attempt's beginning.
	last atomic.Int64
	// looks counts the looks at the path since.
	looks atomic.Int32

	mu      sync.Mutex
	busy    bool
	stopped bool
	why     string // why the attempt was ended from here
}

func (a *attempt) watch(ctx context.Context, cancel context.CancelFunc) *watch {
	w := &watch{a: a, ctx: ctx, cancel: cancel}
	if a.target.Flight == nil {
		return w
	}
	w.timer = time.AfterFunc(a.q.Route.Objective/silenceParts, w.silent)
	a.target.Flight.Watch(
		func(replica string) { w.lead("a part of the path is lost: "+replica, false) },
		func(replica string) { w.lead("a part of the path leaves: "+replica, true) },
	)
	return w
}

// heard notes that events have come.
func (w *watch) heard() {
	w.last.Store(int64(w.a.q.s.Now().Sub(w.a.begun)))
	w.looks.Store(0)
	if w.timer != nil {
		w.timer.Reset(w.a.q.stallAfter())
	}
}

// stallAfter is the pause between two events after which the path is looked at.
func (q *request) stallAfter() time.Duration {
	if q.Route.MaxPause <= 0 {
		return defaultPause / silenceParts
	}
	return q.Route.MaxPause / silenceParts
}

// silentFor is how long no event has come in this attempt.
func (w *watch) silentFor() time.Duration {
	return w.a.q.s.Now().Sub(w.a.begun) - time.Duration(w.last.Load())
}

func (w *watch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
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
	addresses := make([]string, len(path))
	replicas := make(map[string]string, len(path))
	for i, part := range path {
		addresses[i] = part.Address
		replicas[part.Address] = part.Replica
	}
	lost := w.a.q.s.Prober.Lost(w.ctx, addresses)
	if len(lost) == 0 {
		w.lookAgain(path)
		return
	}
	fresh := false
	for _, address := range lost {
		// This leads all requests that run through it around.
		if w.a.target.Flight.Suspect(replicas[address]) {
			fresh = true
			w.a.q.log.Info("replica out of reach", "service", w.a.q.Service, "replica", replicas[address], "address", address)
		}
	}
	if !fresh {
		w.lead("a part of the path is lost", false)
	}
}

const (
	// maxDetours bounds the orders for one part that leaves, and maxTries those for
	// one that is lost: with the pauses they last a little longer than an engine
	// waits for a part that is silent.
	maxDetours = 2
	maxTries   = 20
	// detourPause is between two tries to find a way around: room is given back with
	// each stream that ends.
	detourPause = 150 * time.Millisecond
	// deadAfter is the silence after which a first replica that takes no connections
	// is taken for dead. One that leaves takes none either, and goes on with what it
	// has, in its time: a part further on may be what holds it up.
	deadAfter = 700 * time.Millisecond
)

// lead sends the request around what is lost. While there is no way around, the
// request stays where it is: the first replica still has it, and to end the answer
// from here would lose what may yet go on. Only if the first replica itself is lost
// is the attempt ended, so that another can go on with the request. A part that is
// only about to leave is worth a way around in the same failure domains.
func (w *watch) lead(why string, leaving bool) {
	if !w.take() {
		return
	}
	defer w.give()
	flight := w.a.target.Flight
	for try := 0; w.ctx.Err() == nil; try++ {
		if !leaving && w.mayEnd(flight) {
			w.end(why)
			return
		}
		if path := flight.Detour(leaving); path != nil && w.detour(path, why) {
			return
		}
		if leaving && try >= maxDetours || try >= maxTries || !pause(w.ctx, detourPause) {
			break
		}
	}
	if leaving {
		flight.StillLeaving()
	}
}

// mayEnd says whether to give up the first replica: it looks dead, and another can go
// on now. Without one the answer would be lost for certain; as it is, the replica may
// yet go on.
func (w *watch) mayEnd(flight *targets.Flight) bool {
	return flight.FirstLost() && w.silentFor() >= deadAfter && w.a.q.Budget.Left() && flight.Elsewhere()
}

// detour orders the first replica to go on along another path. It says whether the
// order was taken.
func (w *watch) detour(path paths.Path, why string) bool {
	q := w.a.q
	err := q.s.Engines.Detour(w.ctx, w.a.target.Address, q.Call.ID, path)
	w.recordDetour(path, why, err)
	if err == nil {
		w.a.target.Flight.Moved(path)
		q.s.Figures.Resumed(q.Service, "detour")
		w.timer.Reset(stallAgain)
		return true
	}
	var refused *DetourRefused
	if errors.As(err, &refused) {
		w.a.target.Flight.Refused(path, refused.Fault)
	}
	return false
}

func (w *watch) recordDetour(path paths.Path, why string, err error) {
	notes := []decision.Note{{Name: "path", Text: path.String()}}
	if err != nil {
		notes = append(notes, decision.Note{Name: "error", Text: err.Error()})
	}
	w.a.q.record(decision.Decision{
		Kind: decision.Detour, Chosen: w.a.target.Replica, Reason: why, Notes: notes,
		Figures: map[string]float64{"taken": flag(err == nil), "silent_ms": millis(w.silentFor())},
	})
}

// lookAgain looks at a path that is silent although all of it can be reached.
func (w *watch) lookAgain(path paths.Path) {
	if w.looks.Add(1) < silenceParts {
		w.timer.Reset(w.a.q.stallAfter())
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

func (w *watch) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || w.stopped {
		return false
	}
	w.busy = true
	return true
}

func (w *watch) give() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
}

// end ends the attempt from this side.
func (w *watch) end(why string) {
	w.mu.Lock()
	w.why = why
	w.mu.Unlock()
	w.cancel()
}

// judge corrects the verdict of an attempt that was ended from here: neither its
// caller nor its deadline ended it.
func (w *watch) judge(v verdict) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.why == "" || v.end == endWhole || w.a.q.ctx.Err() != nil {
		return v
	}
	return verdict{end: endUnknown, detail: w.why, result: targets.Result{Failure: health.Broken}}
}
