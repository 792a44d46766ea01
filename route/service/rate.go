package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// minRateChange is the part by which the reported pace must move before the queue
// is told: it takes the gate's lock, and an assumption needs no more digits.
const minRateChange = 0.2

// averageWeight is the weight of one answer in the mean part of its expected cost
// that an answer really takes: a few dozen answers set it.
const averageWeight = 0.05

// maxRunTimeRatio bounds how much longer than its tokens an answer is taken to run: a
// few callers who read slowly must not have all others refused for lack of time.
const maxRunTimeRatio = 2.0

// RecordRun notes what a request really took of its expected cost, both in tokens,
// and how long it ran.
func (s *Service) RecordRun(cost, actual float64, runTime time.Duration) {
	if cost <= 0 || actual <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costRatio += averageWeight * (actual/cost - s.costRatio)
	ratio := min(max(runTime.Seconds()*s.assumedTokenRate/actual, 1), maxRunTimeRatio)
	s.runTimeRatio += averageWeight * (ratio - s.runTimeRatio)
}

// TokenTime returns an endpoint's own report of its time for a token, zero if it has
// made none.
func (s *Service) TokenTime(endpoint string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokenTimes[endpoint]
}

// ExpectedRunTime is how long a request of an expected cost, in tokens, will run once it
// has room; zero if the endpoints' pace is not known. An engine that other nodes
// send to as well lets a request wait before it runs: foreseen by the pace of its
// tokens alone, the last to start in time would end after their callers have gone.
func (s *Service) ExpectedRunTime(cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assumedTokenRate == 0 {
		return 0
	}
	return time.Duration(cost * s.costRatio * s.runTimeRatio / s.assumedTokenRate * float64(time.Second))
}

// updateTokenTime takes an endpoint's own time for a token and tells the queue what a
// slot will yield. The queue goes by it only until it has measured the rate
// itself: a node that starts in the middle of a rush would otherwise let callers
// wait who can't be served in time, until the first answers are done.
func (s *Service) updateTokenTime(endpoint string, tokenTime time.Duration) {
	rate, changed := s.recordTokenTime(endpoint, tokenTime)
	if !changed {
		return
	}
	s.Admission.Configure(func(_ time.Time, q *admission.Queue) []admission.Verdict {
		q.AssumeRate(rate)
		return nil
	})
}

// recordTokenTime notes an endpoint's time for a token and returns the mean tokens a second
// of a slot over the replicas whose every stage is known, and whether it has
// moved. A token passes every stage of its chain, so their times add up.
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

// nearlyEqual says whether b is about a.
func nearlyEqual(a, b float64) bool {
	return b >= a*(1-minRateChange) && b <= a*(1+minRateChange)
}
