package retry

import "time"

// purse holds what a Budget may spend.
type purse interface {
	// left is how many retries may be made now.
	left(now time.Time) float64
	// success earns for a complete answer.
	success(now time.Time)
	// spend takes one retry out.
	spend(now time.Time)
}

// bucket earns by successes and by time, and saves up to a bound.
type bucket struct {
	share, burst, floor float64
	tokens              float64
	earned              time.Time // up to when the floor has been credited
}

func (b *bucket) left(now time.Time) float64 {
	if b.earned.IsZero() {
		b.earned = now
	}
	if passed := now.Sub(b.earned); passed > 0 {
		b.earned = now
		b.credit(b.floor * passed.Seconds())
	}
	return b.tokens
}

func (b *bucket) success(now time.Time) {
	b.left(now)
	b.credit(b.share)
}

func (b *bucket) spend(time.Time) { b.tokens-- }

func (b *bucket) credit(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// slots is into how many parts a window is divided.
const slots = 20

// window allows, in any span of its width, a fixed number of retries and a share of the
// successes in it. What is not spent needs not be saved: it is there when many are
// needed at once.
type window struct {
	width        time.Duration
	share, burst float64
	// ring has one slot more than the width, so that no span of the width is counted
	// short of a part.
	ring [slots + 1]slot
	// before counts as spent as of the first use.
	before float64
	// larger is a larger burst that comes into force, since when it was told.
	larger float64
	since  time.Time
	// first is the time of the first use. What has passed since then is measured on the
	// steady clock that it bears: the time of day may jump.
	first time.Time
}

// slot is one part of a window, by its number since the first use.
type slot struct {
	number           int64
	spent, successes float64
}

// newWindow returns a window of which a part counts as spent at its first use.
func newWindow(cfg Config, spent float64) *window {
	return &window{width: cfg.Window, share: cfg.Share, burst: cfg.Burst, before: spent}
}

func (w *window) number(now time.Time) int64 {
	if w.first.IsZero() {
		w.first = now
	}
	// From one on, so that no slot of the ring is taken for the first.
	return max(0, int64(now.Sub(w.first)/(w.width/slots))) + 1
}

// at is the slot of now, emptied if it was another's.
func (w *window) at(now time.Time) *slot {
	number := w.number(now)
	s := &w.ring[number%int64(len(w.ring))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.spent, w.before = s.spent+w.before, 0
	return s
}

func (w *window) left(now time.Time) float64 {
	w.at(now)
	oldest := w.number(now) - slots
	left := w.burst
	for _, s := range w.ring {
		if s.number < oldest {
			continue
		}
		left -= s.spent
		if s.number > oldest {
			left += w.share * s.successes
		}
	}
	return left
}

// setBurst takes a smaller burst at once, and a larger one after a window: what those
// spent whose part it was still counts until then.
func (w *window) setBurst(now time.Time, burst float64) {
	switch {
	case burst <= w.burst:
		w.burst, w.since = burst, time.Time{}
	case w.since.IsZero():
		w.larger, w.since = burst, now
	case now.Sub(w.since) >= w.width:
		w.burst, w.since = min(burst, w.larger), time.Time{}
	default:
		w.larger = min(burst, w.larger)
	}
}

func (w *window) success(now time.Time) { w.at(now).successes++ }

func (w *window) spend(now time.Time) { w.at(now).spent++ }
