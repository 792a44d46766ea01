package paths

import (
	"time"
)

const (
	// strikePause is how long a replica is left alone after the first sign that it
	// is gone; it doubles with each further one up to maxPause. The first is about
	// the time in which a refused connection of a starting process is served.
	strikePause = 500 * time.Millisecond
	maxPause    = 4 * time.Second
	// fullPause is how long a refusal for want of room counts: the time in which
	// some streams of a few seconds end.
	fullPause = 150 * time.Millisecond
)

// Hold books tokens of memory along a path.
func (b *Book) Hold(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := b.nodes[part.Replica]; ok {
			n.booked += tokens * float64(part.Run.Len())
		}
	}
}

// Release gives back what Hold booked.
func (b *Book) Release(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := b.nodes[part.Replica]; ok {
			n.booked = max(0, n.booked-tokens*float64(part.Run.Len()))
		}
	}
}

// Suspect leaves a replica out for a while after a sign that it is gone. It returns
// for how long.
func (b *Book) Suspect(now time.Time, id string) time.Duration {
	n, ok := b.nodes[id]
	if !ok {
		return 0
	}
	pause := min(maxPause, strikePause<<n.strikes)
	if now.Before(n.until) {
		// Streams that ran through it end at the same time: one sign, not many.
		return n.until.Sub(now)
	}
	n.strikes = min(n.strikes+1, 4)
	n.until = now.Add(pause)
	return pause
}

// Well notes a whole answer along a path: its replicas are trusted again.
func (b *Book) Well(path Path) {
	for _, part := range path {
		if n, ok := b.nodes[part.Replica]; ok {
			n.strikes = 0
		}
	}
}

// Full notes that a replica has refused for want of room.
func (b *Book) Full(now time.Time, id string) {
	if n, ok := b.nodes[id]; ok {
		n.full = now.Add(fullPause)
	}
}

// ByAddress returns the id of the replica at an address, or "".
func (b *Book) ByAddress(address string) string {
	for _, n := range b.order {
		if n.Address == address {
			return n.ID
		}
	}
	return ""
}

// Use is the part of a failure domain's room that is booked here, by replica, for
// log lines and metrics.
func (b *Book) Use(id string) float64 {
	n, ok := b.nodes[id]
	if !ok {
		return 0
	}
	return b.use(n, 0)
}

// Known says whether a replica is in the list.
func (b *Book) Known(id string) bool {
	_, ok := b.nodes[id]
	return ok
}
