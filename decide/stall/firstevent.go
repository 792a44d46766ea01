package stall

import "time"

const (
	// firstEventGain is the weight of a new stream in the moving mean of the times to the first
	// event.
	firstEventGain = 1.0 / 8
	// firstEventFactor is the ratio of the silence after which a stream without an event is checked
	// to the mean time to the first event.
	firstEventFactor = 2
	// firstEventTTL is how long the mean is valid without a new stream.
	firstEventTTL = 10 * time.Second
)

// FirstEvents estimates the mean time to the first event of recent streams. The zero value is
// ready to use. It is not safe for concurrent use.
type FirstEvents struct {
	mean       float64 // nanoseconds
	observedAt time.Time
}

// Observe records the time that a stream took to its first event.
func (f *FirstEvents) Observe(now time.Time, took time.Duration) {
	if took < 0 {
		return
	}
	if !f.valid(now) {
		f.mean = float64(took)
	}
	f.mean += firstEventGain * (float64(took) - f.mean)
	f.observedAt = now
}

// ObserveEndWithout records that a stream ended without an event, after the given time. Its first
// event would have taken longer, so a time below the mean says nothing.
func (f *FirstEvents) ObserveEndWithout(now time.Time, waited time.Duration) {
	if f.valid(now) && float64(waited) > f.mean {
		f.Observe(now, waited)
	}
}

func (f *FirstEvents) valid(now time.Time) bool {
	return !f.observedAt.IsZero() && now.Sub(f.observedAt) < firstEventTTL
}

// CheckAfter returns the silence after which a stream without an event is checked first: at least
// usual, and at least twice the mean time to the first event of recent streams.
func (f *FirstEvents) CheckAfter(now time.Time, usual time.Duration) time.Duration {
	if !f.valid(now) {
		return usual
	}
	return max(usual, time.Duration(firstEventFactor*f.mean))
}
