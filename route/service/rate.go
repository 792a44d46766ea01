package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// rateChange is the part by which the reported pace must move before the queue
// is told: it takes the gate's lock, and an assumption needs no more digits.
const rateChange = 0.2

// usedWeight is the weight of one answer in the mean part of its expected cost
// that an answer really takes: a few dozen answers set it.
const usedWeight = 0.05

// maxStretch bounds how much longer than its tokens an answer is taken to run: a
// few callers who read slowly must not have all others refused for lack of time.
const maxStretch = 2.0

// Served notes what a request really took of its expected cost, both in tokens,
// and how long it ran.
func (s *Service) Served(cost, used float64, took time.Duration) {
	if cost <= 0 || used <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedPart += usedWeight * (used/cost - s.usedPart)
	stretch := min(max(took.Seconds()*s.assumed/used, 1), maxStretch)
	s.stretch += usedWeight * (stretch - s.stretch)
}

// Step returns an endpoint's own report of its time for a token, zero if it has
// made none.
func (s *Service) Step(endpoint string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steps[endpoint]
}

// Expected is how long a request of an expected cost, in tokens, will run once it
// has room; zero if the endpoints' pace is not known. An engine that other nodes
// send to as well lets a request wait before it runs: foreseen by the pace of its
// tokens alone, the last to start in time would end after their callers have gone.
func (s *Service) Expected(cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assumed == 0 {
		return 0
	}
	return time.Duration(cost * s.usedPart * s.stretch / s.assumed * float64(time.Second))
}

// learnPace takes an endpoint's own time for a token and tells the queue what a
// slot will yield. The queue goes by it only until it has measured the rate
// itself: a node that starts in the middle of a rush would otherwise let callers
// wait who can't be served in time, until the first answers are done.
func (s *Service) learnPace(endpoint string, step time.Duration) {
	rate, changed := s.pace(endpoint, step)
	if !changed {
		return
	}
	s.Gate.Configure(func(_ time.Time, q *admission.Queue) []admission.Verdict {
		q.AssumeRate(rate)
		return nil
	})
}

// pace notes an endpoint's time for a token and returns the mean tokens a second
// of a slot over the replicas whose every stage is known, and whether it has
// moved. A token passes every stage of its chain, so their times add up.
func (s *Service) pace(endpoint string, step time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if step <= 0 || len(s.replicasOf[endpoint]) == 0 {
		return 0, false
	}
	if known := s.steps[endpoint]; within(float64(known), float64(step)) {
		return 0, false
	}
	s.steps[endpoint] = step
	rate := s.meanPace()
	if rate == 0 || within(s.assumed, rate) {
		return 0, false
	}
	s.assumed = rate
	return rate, true
}

func (s *Service) meanPace() float64 {
	sum, known := 0.0, 0
	for _, stages := range s.stagesOf {
		if t, ok := s.chainTime(stages); ok {
			sum += 1 / t.Seconds()
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}

func (s *Service) chainTime(stages []string) (time.Duration, bool) {
	var sum time.Duration
	for _, e := range stages {
		step, ok := s.steps[e]
		if !ok {
			return 0, false
		}
		sum += step
	}
	return sum, true
}

// within says whether b is about a.
func within(a, b float64) bool {
	return b >= a*(1-rateChange) && b <= a*(1+rateChange)
}
