package sim

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// FIFO is a baseline: one queue in order of arrival, without shares, limits or
// refusals.
type FIFO struct {
	Slots int
	// DropExpired refuses a request whose deadline has passed when it reaches the
	// head of the queue, which makes the baseline stronger.
	DropExpired bool

	runningRequests int
	waitingRequests []queuedRequest
}

type queuedRequest struct {
	admission.Request
	arrivedAt time.Time
}

// Offer appends the request.
func (f *FIFO) Offer(now time.Time, r admission.Request) []admission.Verdict {
	f.waitingRequests = append(f.waitingRequests, queuedRequest{r, now})
	return f.dispatch(now)
}

// Finish frees a slot.
func (f *FIFO) Finish(now time.Time, _ uint64, _ float64) []admission.Verdict {
	f.runningRequests--
	return f.dispatch(now)
}

// Abandon frees a slot.
func (f *FIFO) Abandon(now time.Time, id uint64) []admission.Verdict { return f.Finish(now, id, 0) }

// SetCapacity changes the number of slots.
func (f *FIFO) SetCapacity(now time.Time, slots int) []admission.Verdict {
	f.Slots = slots
	return f.dispatch(now)
}

// Tick does nothing.
func (f *FIFO) Tick(time.Time) ([]admission.Verdict, time.Time) { return nil, time.Time{} }

func (f *FIFO) dispatch(now time.Time) (verdicts []admission.Verdict) {
	for len(f.waitingRequests) > 0 && f.runningRequests < f.Slots {
		r := f.waitingRequests[0]
		f.waitingRequests = f.waitingRequests[1:]
		verdict := admission.Verdict{ID: r.ID, Kind: admission.Run, Waited: now.Sub(r.arrivedAt)}
		if f.DropExpired && now.After(r.Deadline) {
			verdict.Kind = admission.Refuse
		} else {
			f.runningRequests++
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}
