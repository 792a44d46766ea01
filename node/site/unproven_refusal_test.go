package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

// unprovenForms are answers of a replica that has worked on a request. want is the status that its caller gets.
type unprovenForm struct {
	name, status, header, body string
	want                       int
}

func unprovenForms() []unprovenForm {
	var forms []unprovenForm
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"} {
		for name, header := range map[string]string{
			"bare": "", "with a time to return": "Retry-After: 0.01\r\n", "that names a replica": "At-Server: 10.0.0.1:1\r\n",
			"with an empty proof":                   "Not-Run:\r\n",
			"with a proof for the connection alone": "Connection: not-run\r\nNot-Run: 1\r\n", "that closes": "Connection: close\r\n",
		} {
			forms = append(forms, unprovenForm{status + " " + name, status, header, "it failed", http.StatusBadGateway})
		}
		forms = append(forms, unprovenForm{status + " and long", status, "", longAnswer, http.StatusBadGateway})
	}
	return append(forms,
		unprovenForm{"a failure", "500 Internal Server Error", "", "it failed", http.StatusInternalServerError},
		unprovenForm{"another failure", "504 Gateway Timeout", "", "it failed", http.StatusGatewayTimeout},
		unprovenForm{"nothing there", "404 Not Found", "", "none", http.StatusNotFound},
		// The replica gets nothing more after this one.
		unprovenForm{"503 that leaves", "503 Service Unavailable", "Server-Leaving: 1\r\n", "it failed", http.StatusBadGateway},
	)
}

func (u unprovenForm) answer(id string) string { return rawAnswer(u.status, id, u.header, u.body) }

// Guards against a caller who is promised that its request has not run, and sends it again, although a replica has
// worked on it: the replica answers with a status that reads as the promise, without stating it. Orders, and
// streams that can't be resumed; at a node, and through two.
func TestStatusOfAReplicaPromisesNothingByItself(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			p.chains(strayEvents, time.Millisecond)
			p.ConfigureEdited([]string{goodKey}, `"resumable":true`, `"resumable":false`)
			node := p.strayNode(forwarded)
			for n, form := range unprovenForms() {
				p.setFaults(replica.Fault{
					Raw:       func(id string, _ int) string { return form.answer(id) },
					RawStream: &replica.RawStream{Wire: func(id string, _ int) string { return form.answer(id) }},
				})
				for kind, path := range map[string]string{"order": "/order/1", "stream": "/ask/1"} {
					id := fmt.Sprintf("%s-%d", kind, n)
					got := p.askOnceServed(node, path, id)
					if runs := len(p.Fleet.Runs(id)); got.status != form.want || got.err != nil || runs != 1 {
						t.Errorf("%s: %s: %d, %v after %d runs, want %d once", kind, form.name, got.status, got.err, runs, form.want)
					}
					if form.want == http.StatusBadGateway && (got.header.Get("Server-Stamp") != "" || strings.Contains(got.body, form.body)) {
						t.Errorf("%s: %s: the node's own answer has the replica's %v, %.200q", kind, form.name, got.header, got.body)
					}
				}
			}
			if !strings.Contains(p.log(), "the replica does not say so") {
				t.Error("the log doesn't tell of such answers")
			}
		})
	}
}

// askOnceServed asks once replicas take requests again: some answers keep them away for a time.
func (p *platform) askOnceServed(node *running, path, id string) answer {
	p.t.Helper()
	var got answer
	p.until("a replica gets the request", func() bool {
		got = node.ask(http.MethodPost, path, id, goodKey)
		return len(p.Fleet.Runs(id)) > 0
	})
	return got
}

// Guards against true refusals that are hidden from callers: a replica that states that it has not run a request
// leaves the promise as it is. What may run twice is answered as the replica does.
func TestTrueRefusalsAndRepeatableRequestsKeepTheirStatus(t *testing.T) {
	p := newPlatform(t)
	p.chains(strayEvents, time.Millisecond)
	node := p.strayNode(false)
	p.setFaults(replica.Fault{Refuse: true})
	if got := node.ask(http.MethodPost, "/order/1", "refused", goodKey); got.status != http.StatusServiceUnavailable || len(p.Fleet.Runs("refused")) > 0 {
		t.Errorf("status %d, ran %v, want a refusal", got.status, p.Fleet.Runs("refused"))
	}
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		p.setFaults(replica.Fault{Raw: func(id string, _ int) string { return rawAnswer(fmt.Sprint(status, " x"), id, "", "it failed") }})
		if got := node.ask(http.MethodGet, "/read/1", fmt.Sprint("read-", status), goodKey); got.status != status || got.body != "it failed" || got.header.Get("Server-Stamp") == "" {
			t.Errorf("a read's %d became %d %v %q", status, got.status, got.header, got.body)
		}
	}
}
