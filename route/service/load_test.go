package service

import (
	"math"
	"testing"
	"time"
)

// Guards against requests that are all refused, or all sent to one endpoint, since a number of its
// load report overflows as it is converted.
func TestOddLoadReports(t *testing.T) {
	for micros, want := range map[int64]time.Duration{
		15_000: 15 * time.Millisecond, 0: 0, -1: 0, math.MinInt64: 0, math.MaxInt64: 0, 60_000_001: 0, 18446744073709552: 0, 60_000_000: time.Minute,
	} {
		if got := stepTime(micros); got != want {
			t.Errorf("a step of %d us: %v, want %v", micros, got, want)
		}
	}
	for millis, want := range map[int64]time.Duration{
		200: 200 * time.Millisecond, -1: 0, math.MinInt64: 0, math.MaxInt64: time.Hour, 18446744073710: time.Hour,
	} {
		if got := reportAge(millis); got != want {
			t.Errorf("an age of %d ms: %v, want %v", millis, got, want)
		}
	}
	for reported, want := range map[int]int{7: 7, -1: 0, math.MinInt: 0, math.MaxInt: maxRequests} {
		if got := requests(reported); got != want {
			t.Errorf("%d requests: %d, want %d", reported, got, want)
		}
	}
}
