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

	running int
	waiting []queuedRequest
}

type queuedRequest struct {
	admission.Request
	arrived time.Time
}

// Offer appends the request.
func (f *FIFO) Offer(now time.Time, r admission.Request) []admission.Verdict {
	f.waiting = append(f.waiting, queuedRequest{r, now})
	return f.dispatch(now)
}

// Finish frees a slot.
func (f *FIFO) Finish(now time.Time, _ uint64, _ float64) []admission.Verdict {
	f.running--
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

func (f *FIFO) dispatch(now time.Time) (out []admission.Verdict) {
	for len(f.waiting) > 0 && f.running < f.Slots {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		v := admission.Verdict{ID: r.ID, Kind: admission.Run, Waited: now.Sub(r.arrived)}
		if f.DropExpired && now.After(r.Deadline) {
			v.Kind = admission.Refuse
		} else {
			f.running++
		}
		out = append(out, v)
	}
	return out
}
