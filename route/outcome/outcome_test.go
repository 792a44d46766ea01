package outcome

import (
	"net/http/httptest"
	"testing"
	"time"
)

// If Retry-After, which has no fractions of a second, were rounded down, callers would
// retry too early and be refused again.
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
