package paths

import "time"

const (
	// awayPause is how long a replica is left out that has turned a request away, the
	// first time; awayMost is the longest such pause.
	awayPause = 150 * time.Millisecond
	awayMost  = 2400 * time.Millisecond
)

// away is what a replica's refusals say that has room: it is about to leave, gives up its
// layers, or waits for what is gone, and the list does not tell yet. Each time that it
// refuses again after a pause the next one is twice as long.
type away struct {
	pause time.Duration
	until time.Time
}

// refused notes a refusal. Those that come together are one sign.
func (a *away) refused(now time.Time) {
	switch {
	case now.Before(a.until):
		return
	case a.pause == 0 || now.Sub(a.until) > a.pause:
		a.pause = awayPause
	default:
		a.pause = min(2*a.pause, awayMost)
	}
	a.until = now.Add(a.pause)
}

func (a *away) at(now time.Time) bool { return now.Before(a.until) }
