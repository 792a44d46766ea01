package paths

import "time"

const (
	// backoffBase is how long a replica is skipped after its first refusal, of a request or of a
	// reroute.
	backoffBase = 150 * time.Millisecond
	// backoffMax is the longest backoff period after repeated refusals.
	backoffMax = 2400 * time.Millisecond
)

// backoff holds the last backoff period of a replica. A backoff period starts when the
// replica refuses a request although it has capacity. Such a replica is about to leave,
// gives up its layers, or waits for another replica that was lost, and the list of replicas
// doesn't show this yet.
type backoff struct {
	lastLength time.Duration // length of the last backoff period
	lastEnd    time.Time     // end of the last backoff period
}

// extend records a refusal. A refusal during a backoff period doesn't lengthen the period.
// A later refusal starts a new period, which is twice as long as the last one. If more time
// than the length of the last period has passed since the end of that period, the new period
// has the length backoffBase again.
func (b *backoff) extend(now time.Time) {
	switch {
	case now.Before(b.lastEnd):
		return
	case b.lastLength == 0 || now.Sub(b.lastEnd) > b.lastLength:
		b.lastLength = backoffBase
	default:
		b.lastLength = min(2*b.lastLength, backoffMax)
	}
	b.lastEnd = now.Add(b.lastLength)
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.lastEnd) }

// PauseReroutes leaves a replica out of reroutes for a pause, because it may have refused a reroute
// for lack of memory. The pause doubles with each refusal that follows the last pause.
func (s *Selector) PauseReroutes(now time.Time, id string) {
	if r, ok := s.replicas[id]; ok {
		r.reroutePause.extend(now)
	}
}

// ResumeReroutes ends the pause of a replica that has taken a rerouted request.
func (s *Selector) ResumeReroutes(id string) {
	if r, ok := s.replicas[id]; ok {
		r.reroutePause = backoff{}
	}
}

// ReroutesPaused reports whether a replica is left out of reroutes now.
func (s *Selector) ReroutesPaused(now time.Time, id string) bool {
	r, ok := s.replicas[id]
	return ok && r.reroutePause.active(now)
}
