package callparser

import (
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
)

// sha256Key is the digest of "key".
const sha256Key = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"

func testDocumentIndex(queueDeadline int) *docindex.Index {
	return docindex.Build(&document.Document{
		Services: []document.Service{{Name: "stock-ledger", Kind: document.KindPlain, Plain: &document.Plain{}}},
		Teams:    []document.Team{{Name: "menteng", KeySHA256: []string{sha256Key}}},
		Policy:   document.Policy{QueueDeadlineMillis: queueDeadline},
	}, 1, "digest")
}

// If an invalid class or timeout were replaced by a default, the call would get an
// urgency or deadline that its caller did not ask for. Invalid headers are refused.
func TestClassAndTimeoutHeaders(t *testing.T) {
	cases := []struct {
		name, class, timeout string
		queueDeadline        int
		want                 admission.Class
		start, deadline      time.Duration // after the arrival; a deadline of 0 means none
		refused              string
	}{
		{name: "none", want: admission.Interactive, start: defaultQueueDeadline},
		{name: "interactive", class: "interactive", want: admission.Interactive, start: defaultQueueDeadline},
		{name: "batch", class: "batch", want: admission.Batch, start: defaultQueueDeadline},
		{name: "order is not a class for callers", class: "order", refused: "bad_class"},
		{name: "the document's queue deadline", queueDeadline: 500, want: admission.Interactive, start: 500 * time.Millisecond},
		{name: "a long timeout", timeout: "60000", want: admission.Interactive, start: defaultQueueDeadline, deadline: time.Minute},
		{name: "a timeout before the queue's", timeout: "200", want: admission.Interactive, start: 200 * time.Millisecond, deadline: 200 * time.Millisecond},
		{name: "the longest timeout", timeout: "3600000", want: admission.Interactive, start: defaultQueueDeadline, deadline: time.Hour},
		{name: "a longer timeout", timeout: "3600001", refused: "bad_timeout"},
		{name: "a timeout of zero", timeout: "0", refused: "bad_timeout"},
		{name: "a negative timeout", timeout: "-5", refused: "bad_timeout"},
		{name: "a timeout that overflows", timeout: "9223372036854775808", refused: "bad_timeout"},
		{name: "a timeout with a unit", timeout: "5s", refused: "bad_timeout"},
	}
	now := time.Unix(1000, 0)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &http.Request{Header: http.Header{"Authorization": {"Bearer key"}}}
			r.Header.Set(outcome.HeaderClass, c.class)
			r.Header.Set(outcome.HeaderTimeout, c.timeout)
			got, refusal := New(testDocumentIndex(c.queueDeadline), r, "stock-ledger", now)
			if refusal != nil || c.refused != "" {
				checkRefusal(t, refusal, c.refused)
				return
			}
			deadline := time.Time{}
			if c.deadline > 0 {
				deadline = now.Add(c.deadline)
			}
			if got.Class != c.want || !got.LatestStart.Equal(now.Add(c.start)) || !got.Deadline.Equal(deadline) {
				t.Errorf("class %v, start after %s, deadline %s", got.Class, got.LatestStart.Sub(now), got.Deadline)
			}
		})
	}
}

func checkRefusal(t *testing.T, got *outcome.Refusal, code string) {
	t.Helper()
	if got == nil || got.Code != code || got.Outcome != outcome.NotRun || got.Status != http.StatusBadRequest {
		t.Errorf("got %+v, want %q", got, code)
	}
}
