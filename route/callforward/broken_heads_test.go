package callforward

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/httpanswer"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// Guards against answers of another node whose head is none, and that callers get, and against a second node that is
// asked because of a refusal with such a head or such trailers.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for _, said := range []outcome.Outcome{outcome.Done, outcome.NotRun} {
		line := outcome.Header + ": " + string(said) + "\r\n"
		broken := answertest.BrokenHeads("STRAY", line)
		if said == outcome.NotRun {
			maps.Copy(broken, answertest.BrokenTrailers("503 Service Unavailable", "STRAY", line))
		}
		for name, answer := range broken {
			second, calls := nodeThat(t, serve)
			s := serverOf(&fleetOf{cutOff: true, nodes: []string{answertest.Serve(t, func(string) string { return answer }), second}})
			s.Transport = httpanswer.Checked(s.Transport, nil)
			w := httptest.NewRecorder()
			s.Forward(w, httptest.NewRequest(http.MethodPost, "/services/bookings/x", strings.NewReader("flour")), callOf(3), []byte("flour"))
			if w.Code != http.StatusBadGateway || w.Header().Get(outcome.Header) != string(outcome.Unknown) || strings.Contains(w.Body.String(), "STRAY") || calls.Load() > 0 {
				t.Errorf("%s, %s: %d %q, %d calls of another node", name, said, w.Code, w.Body, calls.Load())
			}
		}
	}
}
