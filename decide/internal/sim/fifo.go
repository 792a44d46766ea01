package sim

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// FIFO is a baseline for the admission queue. It starts requests in order of
// arrival, without team shares or limits. Unless DropExpired is set, FIFO refuses
// no request.
type FIFO struct {
	Slots int // number of requests that run at the same time
	// DropExpired makes FIFO refuse a request that reaches the head of the queue
	// after its deadline. FIFO then wastes no slots on such requests.
	DropExpired bool

	runningRequests int
	waitingRequests []queuedRequest
}

type queuedRequest struct {
	admission.Request
	arrivedAt time.Time
}

// Offer appends the request to the queue and starts it if a slot is free.
func (f *FIFO) Offer(now time.Time, r admission.Request) []admission.Verdict {
	f.waitingRequests = append(f.waitingRequests, queuedRequest{r, now})
	return f.dispatch(now)
}

// Finish frees the slot of a request that has ended and starts the next request.
func (f *FIFO) Finish(now time.Time, _ uint64, _ float64) []admission.Verdict {
	f.runningRequests--
	return f.dispatch(now)
}

// Cancel frees the slot of a request whose caller has disconnected, and starts the
// next request.
func (f *FIFO) Cancel(now time.Time, id uint64) []admission.Verdict { return f.Finish(now, id, 0) }

// SetCapacity changes the number of slots.
func (f *FIFO) SetCapacity(now time.Time, slots int) []admission.Verdict {
	f.Slots = slots
	return f.dispatch(now)
}

// Tick returns no verdicts and the zero time. A FIFO starts requests only when a request
// arrives or ends or when the number of slots changes.
func (f *FIFO) Tick(time.Time) ([]admission.Verdict, time.Time) { return nil, time.Time{} }

// dispatch starts requests while slots are free and returns the verdicts.
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
