package service

import (
	"testing"
	"time"
)

// A node has just started. Its engines report 10 ms and 15 ms a token: a stream
// through both yields 40 tokens a second, which the queue may assume once both
// have spoken. Small changes are not passed on, and a plain endpoint, which
// reports no time, changes nothing.
func TestPaceOfAChain(t *testing.T) {
	s := &Service{
		steps:      map[string]time.Duration{},
		stagesOf:   map[string][]string{"replica-1": {"a", "b"}},
		replicasOf: map[string][]string{"a": {"replica-1"}, "b": {"replica-1"}},
	}
	for _, c := range []struct {
		endpoint string
		step     time.Duration
		rate     float64
		changed  bool
	}{
		{"a", 10 * time.Millisecond, 0, false},
		{"b", 15 * time.Millisecond, 40, true},
		{"b", 16 * time.Millisecond, 0, false},
		{"b", 0, 0, false},
		{"stranger", time.Second, 0, false},
		{"b", 40 * time.Millisecond, 20, true},
	} {
		rate, changed := s.pace(c.endpoint, c.step)
		if rate != c.rate || changed != c.changed {
			t.Errorf("%s at %v: rate %v, changed %t; want %v, %t", c.endpoint, c.step, rate, changed, c.rate, c.changed)
		}
	}
}
