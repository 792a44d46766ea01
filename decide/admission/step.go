package admission

import (
	"math"
	"time"
)

const (
	// stepTimeConstant is the time constant of the recent total demand, which is the demand
	// of all teams together. A step is a sudden rise of this demand.
	stepTimeConstant = time.Second
	// minRecentDemandWindow is the shortest time over which the recent total demand is
	// calculated.
	minRecentDemandWindow = stepTimeConstant / 2
	// stepResetPause is the time without an offered request after which the recent total
	// demand restarts from zero.
	stepResetPause = 3 * stepTimeConstant
	// minStepDemandRatio is the ratio of the recent total demand to the measured total
	// demand above which a step is detected. The measured total demand has the time constant
	// rateTimeConstant. At 64 requests a second, random variation changes the recent total
	// demand by 9% (standard deviation).
	minStepDemandRatio = 1.5
)

// stepDetector detects a sudden rise of the total demand of all teams.
//
// After a quiet period, the demand measured with the time constant rateTimeConstant takes
// seconds to show such a rise. Suppose that a node is offered twice its capacity after a
// pause of 8 s. Without this detector, the measured demands of the teams are too low, and
// the node expects each team to get the part of the drain rate that the other teams do not
// seem to need. The predicted waits are then too short, and one refusal in ten comes more
// than three seconds after the offer.
type stepDetector struct {
	sum        float64
	updatedAt  time.Time // time of the last add
	firstAddAt time.Time // time of the first add after the last pause longer than stepResetPause
}

func (s *stepDetector) add(now time.Time, x float64) {
	if now.Sub(s.updatedAt) > stepResetPause {
		s.sum, s.firstAddAt = 0, now
	}
	s.sum = s.valueAt(now) + x
	s.updatedAt = now
}

func (s *stepDetector) valueAt(now time.Time) float64 {
	return s.sum * math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds()/stepTimeConstant.Seconds())
}

// riseFactor returns the ratio of the recent total demand to measuredDemand, the total
// demand measured with the time constant rateTimeConstant. It returns 1 if random variation
// may explain the difference.
func (s *stepDetector) riseFactor(now time.Time, measuredDemand float64) float64 {
	age := max(now.Sub(s.firstAddAt), minRecentDemandWindow).Seconds() / stepTimeConstant.Seconds()
	recentDemand := s.valueAt(now) / (stepTimeConstant.Seconds() * (1 - math.Exp(-age)))
	if recentDemand <= minStepDemandRatio*measuredDemand || measuredDemand == 0 {
		return 1
	}
	return recentDemand / measuredDemand
}
