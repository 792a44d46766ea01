package paths

import "time"

// readPrice is what a millisecond for which a replica is still reading adds to its cost: at
// a tenth, the wait for a few prompts weighs as much as a usual path.
const readPrice = 0.1

// reading is what a replica has been given to read by this node, in milliseconds.
type reading struct {
	millis float64
	at     time.Time
}

// left is how long it will still read.
func (r *reading) left(now time.Time) float64 {
	return max(0, r.millis-float64(now.Sub(r.at))/float64(time.Millisecond))
}

func (r *reading) add(now time.Time, millis float64) {
	r.millis, r.at = r.left(now)+millis, now
}

// added lists the parts of a path that read a request which ran along another one.
func added(path, before Path) []Part {
	var list []Part
	for _, part := range path {
		held := false
		for _, old := range before {
			held = held || old.Replica == part.Replica && old.Run.Covers(part.Run)
		}
		if !held {
			list = append(list, part)
		}
	}
	return list
}

// ReadWait is how long the slowest new part of a path takes until it has read a request
// that ran along another path, behind what this node has given it before. nodes is how
// many are in the same case: what strikes one node's streams strikes all alike.
func (b *Book) ReadWait(now time.Time, path, before Path, tokens float64, nodes int) time.Duration {
	slowest := 0.0
	for _, part := range added(path, before) {
		if n, ok := b.nodes[part.Replica]; ok {
			own := tokens * float64(part.Run.Len()) * n.ReadMillis
			slowest = max(slowest, n.reading.left(now)+own*float64(max(1, nodes)))
		}
	}
	return time.Duration(slowest * float64(time.Millisecond))
}

// Reads notes that the new parts of a path are given a request to read.
func (b *Book) Reads(now time.Time, path, before Path, tokens float64, nodes int) {
	for _, part := range added(path, before) {
		if n, ok := b.nodes[part.Replica]; ok {
			n.reading.add(now, tokens*float64(part.Run.Len())*n.ReadMillis*float64(max(1, nodes)))
		}
	}
}
