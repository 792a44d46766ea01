package outcome

import (
	"net/http/httptest"
	"testing"
	"time"
)

// A caller that comes back too early only meets another refusal, so Retry-After,
// which has no fractions, is rounded up; without a time it is left out.
func TestRetryAfterRoundsUp(t *testing.T) {
	cases := map[time.Duration]string{
		0:                       "",
		time.Millisecond:        "1",
		time.Second:             "1",
		1001 * time.Millisecond: "2",
		time.Minute:             "60",
	}
	for wait, want := range cases {
		w := httptest.NewRecorder()
		(&Refusal{Status: 429, Code: "overloaded", Outcome: NotRun, RetryAfter: wait}).Write(w)
		if got := w.Header().Get("Retry-After"); got != want || w.Code != 429 || w.Header().Get(Header) != "not-run" {
			t.Errorf("%s: %d, Retry-After %q, want %q", wait, w.Code, got, want)
		}
	}
}
