package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// minRateChange is the fraction by which the token rate must change before the new rate is
// passed to the admission queue. Passing a rate takes the queue's lock, and the rate need
// not be exact.
const minRateChange = 0.2

// averageWeight is the weight of one answer in the moving averages actualCostRatio
// and runToTokenTimeRatio, which therefore follow the last few dozen answers.
const averageWeight = 0.05

// maxRunToTokenTimeRatio bounds the ratio of an answer's run time to the time that its
// tokens take at the assumed token rate.
// Without the bound, a few callers that read slowly would raise the expected run time
// so far that the requests of all other callers are refused.
const maxRunToTokenTimeRatio = 2.0

// RecordRun records a finished request: its expected and actual cost, both in tokens, and
// its run time.
func (s *Service) RecordRun(expectedCost, actualCost float64, runTime time.Duration) {
	if expectedCost <= 0 || actualCost <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actualCostRatio += averageWeight * (actualCost/expectedCost - s.actualCostRatio)
	ratio := min(max(runTime.Seconds()*s.assumedTokenRate/actualCost, 1), maxRunToTokenTimeRatio)
	s.runToTokenTimeRatio += averageWeight * (ratio - s.runToTokenTimeRatio)
}

// TokenTime returns the time per token that an endpoint has reported, or zero if the
// endpoint has reported none.
func (s *Service) TokenTime(endpoint string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokenTimes[endpoint]
}

// ExpectedRunTime returns how long a request of the given expected cost, in tokens, will
// run once it is admitted. It returns zero if the endpoints' token rate is not known.
// The estimate includes the wait in an engine that other nodes also use. If the estimate
// counted only the time that the tokens take at the token rate, the last requests admitted
// before their deadlines would end after their callers have disconnected.
func (s *Service) ExpectedRunTime(expectedCost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assumedTokenRate == 0 {
		return 0
	}
	return time.Duration(expectedCost * s.actualCostRatio * s.runToTokenTimeRatio / s.assumedTokenRate * float64(time.Second))
}

// updateTokenTime records an endpoint's reported time per token and passes the resulting
// token rate of a slot to the admission queue. The queue uses this rate only until it has
// measured a rate itself. Otherwise a node that starts during a peak would queue requests
// that can't be served in time, until the first answers are complete.
func (s *Service) updateTokenTime(endpoint string, tokenTime time.Duration) {
	rate, changed := s.recordTokenTime(endpoint, tokenTime)
	if !changed {
		return
	}
	s.Admission.Configure(func(_ time.Time, q *admission.Queue) []admission.Verdict {
		q.AssumeSlotRate(rate)
		return nil
	})
}

// recordTokenTime records an endpoint's time per token. It returns the mean token rate of a
// slot, in tokens per second, and whether the rate has changed. The mean is taken over the
// replicas for which the times per token of all stages are known. A token passes all
// stages of its chain, so the times of the stages add up.
func (s *Service) recordTokenTime(endpoint string, tokenTime time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokenTime <= 0 || len(s.replicasOf[endpoint]) == 0 {
		return 0, false
	}
	if previous := s.tokenTimes[endpoint]; nearlyEqual(float64(previous), float64(tokenTime)) {
		return 0, false
	}
	s.tokenTimes[endpoint] = tokenTime
	rate := s.meanTokenRate()
	if rate == 0 || nearlyEqual(s.assumedTokenRate, rate) {
		return 0, false
	}
	s.assumedTokenRate = rate
	return rate, true
}

func (s *Service) meanTokenRate() float64 {
	rateSum, knownReplicas := 0.0, 0
	for _, stages := range s.stagesOf {
		if tokenTime, ok := s.chainTokenTime(stages); ok {
			rateSum += 1 / tokenTime.Seconds()
			knownReplicas++
		}
	}
	if knownReplicas == 0 {
		return 0
	}
	return rateSum / float64(knownReplicas)
}

func (s *Service) chainTokenTime(stages []string) (time.Duration, bool) {
	var sum time.Duration
	for _, e := range stages {
		tokenTime, ok := s.tokenTimes[e]
		if !ok {
			return 0, false
		}
		sum += tokenTime
	}
	return sum, true
}

// nearlyEqual reports whether b differs from a by at most the fraction minRateChange.
func nearlyEqual(a, b float64) bool {
	return b >= a*(1-minRateChange) && b <= a*(1+minRateChange)
}
