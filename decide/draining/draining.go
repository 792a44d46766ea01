package draining

import "time"

const (
	// longRequestPart is the part of the time to the node's end for which it accepts idempotent
	// requests whose deadline comes after its end.
	longRequestPart = 1.0 / 3
	// maxLongRequestTime bounds that part: callers of longer requests accept a cut answer only if they sent
	// them within this time.
	maxLongRequestTime = 3 * time.Second
	// AnswerMargin is the time between the latest deadline of an accepted request and the node's
	// end. The node writes the last answers in it.
	AnswerMargin = 100 * time.Millisecond
)

// Drain describes a node that was told to stop. The zero value is that of a node that was not.
type Drain struct {
	// Elapsed is the time since the node was told to stop; zero if it was not.
	Elapsed time.Duration
	// AcceptFor is the time from Elapsed zero for which callers may still use the node's address.
	AcceptFor time.Duration
	// End is the time from Elapsed zero to the end of the process.
	End time.Duration
}

// Active reports whether the node was told to stop.
func (d Drain) Active() bool { return d.Elapsed > 0 }

// Accepts reports whether the node accepts a request whose deadline is remaining from now.
func (d Drain) Accepts(remaining time.Duration, idempotent bool) bool {
	switch {
	case !d.Active():
		return true
	case d.Elapsed >= d.AcceptFor:
		return false
	case d.endsInTime(remaining):
		return true
	}
	longRequestsUntil := min(time.Duration(longRequestPart*float64(d.End)), maxLongRequestTime)
	return idempotent && d.Elapsed < longRequestsUntil
}

// MaySend reports whether a request that was accepted earlier, and whose deadline is remaining from now,
// may be sent to a replica. An order may have waited for its body or for capacity since it was accepted,
// also since before the node was told to stop.
func (d Drain) MaySend(remaining time.Duration, idempotent bool) bool {
	return !d.Active() || idempotent || d.endsInTime(remaining)
}

// endsInTime reports whether the node answers a request at its deadline at the latest.
func (d Drain) endsInTime(remaining time.Duration) bool {
	return d.Elapsed+remaining <= d.LastAnswer()
}

// LastAnswer is the time from Elapsed zero at which the node ends the requests that are still under
// way, so that their callers get an answer before the process ends.
func (d Drain) LastAnswer() time.Duration { return d.End - AnswerMargin }
