package service

import (
	"testing"
	"time"
)

// If the token rate of a chain counted one stage only, the queue of a node that has just
// started would admit too many requests. Engines that report 10 ms and 15 ms per token
// give 40 tokens a second. The rate is known once both engines have reported. Small
// changes of the rate are not passed to the queue, and a report without a time is ignored.
func TestTokenRateOfChain(t *testing.T) {
	s := &Service{
		tokenTimes: map[string]time.Duration{},
		stagesOf:   map[string][]string{"replica-1": {"a", "b"}},
		replicasOf: map[string][]string{"a": {"replica-1"}, "b": {"replica-1"}},
	}
	for _, c := range []struct {
		endpoint  string
		tokenTime time.Duration
		rate      float64
		changed   bool
	}{
		{"a", 10 * time.Millisecond, 0, false},
		{"b", 15 * time.Millisecond, 40, true},
		{"b", 16 * time.Millisecond, 0, false},
		{"b", 0, 0, false},
		{"unknown", time.Second, 0, false},
		{"b", 40 * time.Millisecond, 20, true},
	} {
		rate, changed := s.recordTokenTime(c.endpoint, c.tokenTime)
		if rate != c.rate || changed != c.changed {
			t.Errorf("%s at %v: rate %v, changed %t; want %v, %t", c.endpoint, c.tokenTime, rate, changed, c.rate, c.changed)
		}
	}
}

// If the expected run time ignored past answers, requests would be refused that could
// be served, or admitted too late. A team declares twice the tokens that its answers
// take, and engines give 40 tokens a second. After some answers, a request that declares
// 80 tokens is expected to take one second, not two. The wait in the engines' queues is
// included. The time that callers take to read their answers is included up to a bound.
func TestExpectedRunTime(t *testing.T) {
	s := &Service{actualCostRatio: 1, runToTokenTimeRatio: 1}
	if got := s.ExpectedRunTime(80); got != 0 {
		t.Errorf("expected run time %v without a token rate, want 0", got)
	}
	s.assumedTokenRate = 40
	if got := s.ExpectedRunTime(80); got != 2*time.Second {
		t.Errorf("expected run time %v before any answer, want 2s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, time.Second)
		s.RecordRun(80, 0, time.Second) // a request that did not run is ignored
	}
	if got := s.ExpectedRunTime(80); got < 990*time.Millisecond || got > 1010*time.Millisecond {
		t.Errorf("expected run time %v after 200 answers, want about 1s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, 1500*time.Millisecond) // half a second in the engine's queue
	}
	if got := s.ExpectedRunTime(80); got < 1490*time.Millisecond || got > 1510*time.Millisecond {
		t.Errorf("expected run time %v while answers take 1.5s, want about 1.5s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, time.Minute) // slow readers
	}
	if got := s.ExpectedRunTime(80); got > 2*time.Second {
		t.Errorf("expected run time %v with slow readers, want at most 2s", got)
	}
}
