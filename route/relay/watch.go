package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/detour"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/keep/wait"
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

	// others are the replicas that may go on with the request in place of the first:
	// mayReplace if that is lost, mayMove also if it is only slower.
	others              targets.Others
	mayReplace, mayMove bool

	mu      sync.Mutex
	busy    bool
	stopped bool
	// next, if set, is booked for the try after this one, which was ended from here;
	// why says for what reason.
	next *targets.Target
	why  string
}

func (a *attempt) watch(ctx context.Context, cancel context.CancelFunc) *watch {
	w := &watch{a: a, ctx: ctx, cancel: cancel}
	if a.target.Flight == nil {
		return w
	}
	w.permit(a.q)
	w.timer = time.AfterFunc(a.q.Route.Objective/silenceParts, w.silent)
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

// lead has the request go on although a part of its path is lost or leaves. While there
// is no way, the request stays where it is: the first replica still has it, and to end
// the answer from here would lose what may yet go on. The attempt is ended only where
// another first replica has been booked to go on with it. A part that is only about to
// leave is worth a way around in the same failure domains.
func (w *watch) lead(why string, leaving bool) {
	if !w.take() {
		return
	}
	defer w.give()
	flight := w.a.target.Flight
	for try := 0; w.ctx.Err() == nil; try++ {
		if leaving {
			if path := flight.Near(); path != nil && w.detour(path, why) {
				return
			}
		} else if w.replaceFirst(flight, why) || w.goOn(flight, why) {
			return
		}
		if leaving && try >= maxDetours || try >= maxTries || !wait.For(w.ctx, detourPause) {
			break
		}
	}
	if leaving {
		flight.StillLeaving()
	}
}

// replaceFirst has another replica go on if the first one looks dead and one can go on
// now. Without one the answer would be lost for certain; as it is, the replica may yet
// go on.
func (w *watch) replaceFirst(flight *targets.Flight, why string) bool {
	if !w.mayReplace || !flight.FirstLost() || w.silentFor() < deadAfter || !w.a.q.Budget.Left() {
		return false
	}
	next, ok := flight.Elsewhere(w.others)
	return ok && w.move(next, why)
}

// movedAfter is the silence after which a request is moved away from a first replica
// that lives: above the usual pause between events, so that where the part was not lost
// after all the request is left in peace.
const movedAfter = 70 * time.Millisecond

// goOn has the request go on around the lost part or, if that would take longer, at
// another first replica.
func (w *watch) goOn(flight *targets.Flight, why string) bool {
	way, path, next := flight.GoOn(w.mayMove && w.a.q.Budget.Left(), w.others)
	if way == detour.Elsewhere {
		if w.quiet() && w.move(next, why+"; another failure domain goes on sooner") {
			return true
		}
		w.release(next)
		if w.ctx.Err() != nil {
			return true
		}
		_, path, _ = flight.GoOn(false, w.others)
	}
	return path != nil && w.detour(path, why)
}

// quiet waits until the stream has been silent for movedAfter. It returns false if
// events have come meanwhile, or the attempt has ended.
func (w *watch) quiet() bool {
	before := w.last.Load()
	if left := movedAfter - w.silentFor(); left > 0 && !wait.For(w.ctx, left) {
		return false
	}
	return w.last.Load() == before
}

// move pays for a further try and ends the attempt in favour of the next target. It
// returns false if the budget is spent.
func (w *watch) move(next targets.Target, why string) bool {
	paid := w.a.q.Budget.Allow(retry.Attempt{
		Made: 1, Failure: health.Broken, Repeatable: true, Deadline: w.a.q.Deadline, Alternatives: 1,
	})
	if !paid.Retry {
		return false
	}
	w.end(why, next)
	return true
}

// release gives back what was booked for a try that is not made.
func (w *watch) release(next targets.Target) {
	w.a.q.Targets.Ended(next, targets.Result{Failure: health.Canceled})
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

// end ends the attempt from this side in favour of the next target.
func (w *watch) end(why string, next targets.Target) {
	w.mu.Lock()
	over := w.stopped
	if !over {
		w.why, w.next = why, &next
	}
	w.mu.Unlock()
	if over {
		w.release(next)
		return
	}
	w.cancel()
}

// judge corrects the verdict of an attempt that was ended from here: neither its
// caller nor its deadline ended it, and the next target is booked and paid for.
func (w *watch) judge(v verdict) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil || v.end == endWhole || w.a.q.ctx.Err() != nil {
		return v
	}
	next := w.next
	w.next = nil
	return verdict{end: endUnknown, detail: w.why, result: targets.Result{Failure: health.Broken}, next: next}
}
