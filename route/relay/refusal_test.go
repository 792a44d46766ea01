package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// Guards against an order that is told not to have run, and may have: another node's refusal turns out to be no answer
// at its end.
func TestRefusalsOfNodesWithBrokenTrailersProveNothing(t *testing.T) {
	told := http.Header{}
	refusalResult(NotRun(http.StatusServiceUnavailable, ReasonNoCapacity, "", time.Second)).Set(told)
	var lines strings.Builder
	if err := told.Write(&lines); err != nil {
		t.Fatal(err)
	}
	for name, answer := range answertest.BrokenTrailers("503 Service Unavailable", "STRAY", lines.String()) {
		s := newShedding(t)
		s.Forwarder, s.Revisions = &cutOff{address: answertest.Serve(t, func(string) string { return answer })}, steadyRevision(1)
		w := httptest.NewRecorder()
		s.Serve(context.Background(), w, s.request(func(r *Request) {
			r.Route, r.Admission = &ruleset.Route{Timeout: 9 * time.Second, MaxReplicas: 2}, nil
		}))
		if said := w.Header().Get("Refused"); w.Code != http.StatusBadGateway || !strings.HasSuffix(said, "unknown") {
			t.Errorf("%s: %d %q", name, w.Code, said)
		}
	}
}
