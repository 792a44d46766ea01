package admission

import (
	"math"
	"time"
)

const (
	// stepWindow is the time constant of the demand of all teams together by which a
	// step is seen, and stepAge the shortest time over which it is taken.
	stepWindow = time.Second
	stepAge    = stepWindow / 2
	// stepPause is the pause after which the demand is taken anew.
	stepPause = 3 * stepWindow
	// stepFactor is by how much that demand must be above the one measured over
	// rateWindow. With 64 calls a second chance moves it by 9% (standard deviation).
	stepFactor = 1.5
)

// step notices that demand has risen at once.
//
// Over rateWindow, after a quiet time, it takes seconds to show: a node that had
// served before a pause of eight seconds foretold at twice the bound as if each team
// could have what the others did not seem to ask for, and one refusal in ten came
// after three seconds.
type step struct {
	sum   float64
	at    time.Time // of the last change
	since time.Time // of the first, after a pause
}

func (s *step) add(now time.Time, x float64) {
	if now.Sub(s.at) > stepPause {
		s.sum, s.since = 0, now
	}
	s.sum = s.value(now) + x
	s.at = now
}

func (s *step) value(now time.Time) float64 {
	return s.sum * math.Exp(-max(now.Sub(s.at), 0).Seconds()/stepWindow.Seconds())
}

// boost returns by how much the demand of late exceeds the measured one, or 1 if
// that may be chance.
func (s *step) boost(now time.Time, measured float64) float64 {
	age := max(now.Sub(s.since), stepAge).Seconds() / stepWindow.Seconds()
	lately := s.value(now) / (stepWindow.Seconds() * (1 - math.Exp(-age)))
	if lately <= stepFactor*measured || measured == 0 {
		return 1
	}
	return lately / measured
}
