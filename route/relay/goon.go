package relay

import (
	"cmp"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// maxTries bounds the orders for one part: with the pauses they last a little longer
	// than an engine waits for a part that is silent, or serves on when it leaves.
	maxTries = 20
	// detourPause is between two tries to find a way around: room is given back with
	// each stream that ends.
	detourPause = 150 * time.Millisecond
	// deadAfter is the silence after which a first replica that refuses connections is
	// taken for dead. One that leaves refuses them too, and goes on with what it has, in
	// its time: a part further on may be what holds it up. Where nothing answers at all,
	// nothing goes on, and movedAfter is enough.
	deadAfter = 700 * time.Millisecond
)

// lead has the request go on although a part of its path is lost or leaves. While there
// is no way, the request stays where it is: the first replica still has it, and to end
// the answer from here would lose what may yet go on. The attempt is ended only where
// another first replica has been booked to go on with it. A part that is only about to
// leave is worth a way around in the same failure domains.
func (w *watch) lead(why string, leaving bool) {
	if !w.take(why, leaving) {
		return
	}
	defer w.give()
	flight := w.a.target.Flight
	for try := 0; try < maxTries && w.ctx.Err() == nil; try++ {
		if lost := w.lostMeanwhile(); lost != "" {
			why, leaving, try = lost, false, 0
		}
		if w.ledOnce(flight, why, leaving) || !w.pause() {
			return
		}
	}
	if leaving {
		flight.StillLeaving()
	}
}

// pause waits before the next try, until something is lost at the longest. It returns
// false if the attempt has ended.
func (w *watch) pause() bool {
	timer := time.NewTimer(detourPause)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-w.ctx.Done():
		return false
	}
	return true
}

// ledOnce tries once to have the request go on.
func (w *watch) ledOnce(flight *targets.Flight, why string, leaving bool) bool {
	if leaving {
		path := flight.Away()
		return path != nil && w.detour(path, why)
	}
	if w.replaceFirst(flight, why) {
		return true
	}
	// One that does not answer takes no order either.
	_, silent := flight.FirstLost()
	return !silent && w.goOn(flight, why)
}

// replaceFirst has another replica go on if the first one looks dead and one can go on
// now. Without one the answer would be lost for certain; as it is, the replica may yet
// go on.
func (w *watch) replaceFirst(flight *targets.Flight, why string) bool {
	if !w.mayReplace || !w.firstDead(flight) || !w.a.q.Budget.Left() {
		return false
	}
	next, ok := flight.Elsewhere(w.others)
	if !ok {
		return false
	}
	if w.move(next, why) {
		return true
	}
	w.release(next)
	return false
}

// firstDead says whether the first replica has gone, as far as can be told by now.
func (w *watch) firstDead(flight *targets.Flight) bool {
	suspected, silent := flight.FirstLost()
	if silent {
		return w.quiet()
	}
	return suspected && w.silentFor() >= deadAfter
}

// movedAfter is the silence after which a request is moved away from a first replica
// that lives, where its own pace is not known yet: above the usual pause between events,
// so that where the part was not lost after all the request is left in peace.
const movedAfter = 70 * time.Millisecond

// freePart of the pause that is on time is left once a lost part is known and the order
// to go around is given.
const freePart = 0.4

// goOn has the request go on around the lost part or, if that would take longer, at
// another first replica.
func (w *watch) goOn(flight *targets.Flight, why string) bool {
	free := time.Duration(float64(w.a.q.maxPause()) * freePart)
	way, path, next := flight.GoOn(w.mayMove && w.a.q.Budget.Left(), free, w.others)
	if way == reroute.Migrate {
		if w.quiet() && w.move(next, why+"; another failure domain goes on sooner") {
			return true
		}
		w.release(next)
		if w.ctx.Err() != nil {
			return true
		}
		_, path, _ = flight.GoOn(false, free, w.others)
	}
	return path != nil && w.detour(path, why)
}

// quiet waits until the stream has been silent for movedAfter. It returns false if
// events have come meanwhile, or the attempt has ended.
func (w *watch) quiet() bool {
	before := w.last.Load()
	after := min(movedAfter, cmp.Or(time.Duration(w.patience.Load()), movedAfter))
	if left := after - w.silentFor(); left > 0 && !wait.For(w.ctx, left) {
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
	notes := []decisionlog.Note{{Name: "path", Text: path.String()}}
	if err != nil {
		notes = append(notes, decisionlog.Note{Name: "error", Text: err.Error()})
	}
	w.a.q.record(decisionlog.Decision{
		Kind: decisionlog.Detour, Chosen: w.a.target.Replica, Reason: why, Notes: notes,
		Figures: map[string]float64{
			"taken": flag(err == nil), "silent_ms": millis(w.silentFor()), "crossings": float64(path.Crossings()),
		},
	})
}

// take begins to lead the request. While it is led away from a part that leaves, one that
// is lost is remembered for lostMeanwhile.
func (w *watch) take(why string, leaving bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if w.busy {
		if !leaving && w.leaving {
			w.lost = why
			select {
			case w.wake <- struct{}{}:
			default: // it is about to look
			}
		}
		return false
	}
	w.busy, w.leaving, w.lost = true, leaving, ""
	return true
}

// lostMeanwhile says why the request must go on at once although it was led away from a
// part that leaves, "" if nothing was lost.
func (w *watch) lostMeanwhile() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := w.lost
	if lost != "" {
		w.lost, w.leaving = "", false
	}
	return lost
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
