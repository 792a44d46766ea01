package service

import (
	"testing"
	"time"
)

// A node has just started. Its engines report 10 ms and 15 ms a token: a stream
// through both yields 40 tokens a second, which the queue may assume once both
// have spoken. Small changes are not passed on, and a plain endpoint, which
// reports no time, changes nothing.
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
		{"stranger", time.Second, 0, false},
		{"b", 40 * time.Millisecond, 20, true},
	} {
		rate, changed := s.recordTokenTime(c.endpoint, c.tokenTime)
		if rate != c.rate || changed != c.changed {
			t.Errorf("%s at %v: rate %v, changed %t; want %v, %t", c.endpoint, c.tokenTime, rate, changed, c.rate, c.changed)
		}
	}
}

// A team declares twice what its answers take, and engines give 40 tokens a
// second. After some answers a declared 80 tokens are foreseen to run a second,
// not two; before any pace is known nothing is foreseen. When engines let requests
// wait first, the wait is foreseen as well, but not the time of slow readers.
func TestExpectedRunTime(t *testing.T) {
	s := &Service{costRatio: 1, runTimeRatio: 1}
	if got := s.ExpectedRunTime(80); got != 0 {
		t.Errorf("%v foreseen without a pace", got)
	}
	s.assumedTokenRate = 40
	if got := s.ExpectedRunTime(80); got != 2*time.Second {
		t.Errorf("%v foreseen before any answer, want 2s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, time.Second)
		s.RecordRun(80, 0, time.Second) // not run: tells nothing
	}
	if got := s.ExpectedRunTime(80); got < 990*time.Millisecond || got > 1010*time.Millisecond {
		t.Errorf("%v foreseen after 200 answers, want about 1s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, 1500*time.Millisecond) // half a second in the engine's queue
	}
	if got := s.ExpectedRunTime(80); got < 1490*time.Millisecond || got > 1510*time.Millisecond {
		t.Errorf("%v foreseen while answers take 1.5s", got)
	}
	for range 200 {
		s.RecordRun(80, 40, time.Minute) // slow readers
	}
	if got := s.ExpectedRunTime(80); got > 2*time.Second {
		t.Errorf("%v foreseen because of slow readers, want 2s at most", got)
	}
}
