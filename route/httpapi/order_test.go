package httpapi_test

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	standinplain "github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/state/ledger"
)

const ordersPath = "/services/stock-ledger/orders"

func orderRequest(key, body string) apiRequest {
	a := apiRequest{method: http.MethodPost, path: ordersPath, key: teamKey, body: body}
	if key != "" {
		a.header = map[string]string{outcome.HeaderIdempotencyKey: key}
	}
	return a
}

// If a failed order were sent again, it could be placed twice. However the endpoint
// fails, no order arrives twice. A repeated order gets the same answer, or an answer
// that says that the outcome is unknown.
func TestOrdersArriveAtMostOnce(t *testing.T) {
	type step struct {
		request apiRequest
		status  int
		outcome outcome.Outcome
	}
	cases := []struct {
		name       string
		checksKeys bool
		storeDown  bool
		faults     standinplain.Faults
		steps      []step
		arrived    int
	}{
		{"order repeated", false, false, standinplain.Faults{}, []step{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the key is used for another order", false, false, standinplain.Faults{}, []step{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("k", "butter"), 422, outcome.NotRun},
		}, 1},
		{"two keys are two orders", false, false, standinplain.Faults{}, []step{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("l", "flour"), 201, outcome.Done},
		}, 2},
		{"the reply is lost", false, false, standinplain.Faults{DropReply: 1}, []step{
			{orderRequest("k", "flour"), 409, outcome.Unknown},
			{orderRequest("k", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the reply is lost, no key", false, false, standinplain.Faults{DropReply: 1}, []step{
			{orderRequest("", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the endpoint fails after its work", false, false, standinplain.Faults{FailAfterWork: true}, []step{
			{orderRequest("k", "flour"), 500, outcome.Done},
			{orderRequest("k", "flour"), 500, outcome.Done},
		}, 1},
		{"every endpoint refuses", false, false, standinplain.Faults{Refuse: true}, []step{
			{orderRequest("k", "flour"), 503, outcome.NotRun},
			{orderRequest("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down", false, true, standinplain.Faults{}, []step{
			{orderRequest("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down, endpoints check keys", true, true, standinplain.Faults{}, []step{
			{orderRequest("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the store is down, no key", false, true, standinplain.Faults{}, []step{
			{orderRequest("", "flour"), 201, outcome.Done},
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode(t, testNodeConfig{checksKeys: c.checksKeys})
			n.setStoreDown(c.storeDown)
			n.setPlainFaults(c.faults)
			for i, want := range c.steps {
				got := n.send(want.request)
				if got.status != want.status || got.outcome() != want.outcome {
					t.Errorf("answer %d: %d %s: %s; want %d %s", i, got.status, got.outcome(), got.body, want.status, want.outcome)
				}
			}
			if n := n.orderCount(); n != c.arrived {
				t.Errorf("%d orders arrived, want %d", n, c.arrived)
			}
		})
	}
}

// Without the recorded result, a repeated order would get no answer or be sent again.
// It gets the first answer, marked as a replay.
func TestReplayReturnsFirstAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	first := n.send(orderRequest("k", "flour"))
	repeated := n.send(orderRequest("k", "flour"))
	if repeated.body != first.body || repeated.header.Get("Content-Type") != first.header.Get("Content-Type") {
		t.Errorf("replayed %q, want %q", repeated.body, first.body)
	}
	if first.header.Get(outcome.HeaderReplayed) != "" || repeated.header.Get(outcome.HeaderReplayed) != "1" {
		t.Errorf("replay marks: %q, then %q", first.header.Get(outcome.HeaderReplayed), repeated.header.Get(outcome.HeaderReplayed))
	}
}

// The caller cancels while the endpoint works on its order. If the node canceled the
// order as well, its result would be lost. The result is recorded, a repeated order
// gets it, and the endpoint receives the order once.
func TestCanceledCallerOrderCompletes(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.setPlainFaults(standinplain.Faults{DelayMillis: 300})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-n.plainEndpoints[0].Arrived():
		case <-n.plainEndpoints[1].Arrived():
		}
		cancel()
	}()
	if got, err := n.sendWithContext(ctx, orderRequest("k", "flour")); err == nil {
		t.Fatalf("the caller canceled and got %+v", got)
	}
	<-n.handledCalls
	repeated := n.send(orderRequest("k", "flour"))
	if repeated.status != http.StatusCreated || repeated.header.Get(outcome.HeaderReplayed) != "1" || n.orderCount() != 1 {
		t.Errorf("repeated: %d %s %s; %d arrived", repeated.status, repeated.outcome(), repeated.body, n.orderCount())
	}
}

// The endpoint is slow, and the caller repeats its order while the first request is in
// progress. If the answer were "in doubt", a person would have to check the order. The
// caller gets a Retry-After and, on its next attempt, the first answer.
func TestRepeatedOrderWhileInProgress(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	arrived, answer := make(chan struct{}, 2), make(chan struct{})
	n.respond = func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-answer
		w.WriteHeader(http.StatusCreated)
	}
	first := make(chan apiResponse, 1)
	go func() {
		got, _ := n.sendWithContext(context.Background(), orderRequest("k", "flour"))
		first <- got
	}()
	<-arrived
	repeated := n.send(orderRequest("k", "flour"))
	close(answer)
	if repeated.status != http.StatusConflict || repeated.outcome() != outcome.Unknown || repeated.header.Get("Retry-After") != "1" {
		t.Errorf("repeated while in progress: %d %s, Retry-After %q", repeated.status, repeated.outcome(), repeated.header.Get("Retry-After"))
	}
	if got := <-first; got.status != http.StatusCreated {
		t.Errorf("the first request got status %d", got.status)
	}
	later := n.send(orderRequest("k", "flour"))
	if later.status != http.StatusCreated || later.header.Get(outcome.HeaderReplayed) != "1" || len(arrived) != 0 {
		t.Errorf("repeated later: %d %s; %d more arrived", later.status, later.outcome(), len(arrived))
	}
}

// A team's key gives access to every service that the team may call. If the key were
// sent to an endpoint that logs its headers, it would be exposed. The caller's other
// headers are forwarded.
func TestTeamKeyIsNotForwarded(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	a := orderRequest("k", "flour")
	a.header["Site"] = "anacortes"
	n.send(a)
	n.send(apiRequest{method: http.MethodGet, path: "/services/stock-ledger/manifests?barge=7", key: teamKey, header: map[string]string{"Site": "anacortes"}})
	if len(n.plainRequests) != 2 {
		t.Fatalf("%d calls arrived", len(n.plainRequests))
	}
	for _, r := range n.plainRequests {
		if r.Header.Get("Authorization") != "" || r.Header.Get("Site") != "anacortes" {
			t.Errorf("%s %s arrived with %v", r.Method, r.URL, r.Header)
		}
	}
}

// If the node decoded an escaped # or ?, the path would end there, and an order would
// be placed at another site.
func TestPathIsForwardedUnchanged(t *testing.T) {
	for _, path := range []string{"/", "/sites/a%23b", "/sites/a%3Fb", "/sites/100%25", "/sites/a%20b", "/sites/a%2Fb", "/sites//b", "/sites/b/?c=%23&d=1"} {
		t.Run(path, func(t *testing.T) {
			n := newTestNode(t, testNodeConfig{})
			got := n.send(apiRequest{method: http.MethodGet, path: "/services/stock-ledger" + path, key: teamKey})
			if len(n.plainRequests) != 1 || n.plainRequests[0].RequestURI != path {
				t.Errorf("answered %d; arrived %d calls, want one of %s", got.status, len(n.plainRequests), path)
				for _, r := range n.plainRequests {
					t.Logf("arrived: %s", r.RequestURI)
				}
			}
		})
	}
}

// The caller writes the path of an order in another way that the endpoint understands,
// and the reply is lost. If the node did not recognize the order, it would send the
// call again.
func TestEquivalentOrderPathsAreNotRetried(t *testing.T) {
	for _, path := range []string{"/orders", "/orders/", "//orders", "/%6Frders", "/x/../orders", "/./orders"} {
		t.Run(path, func(t *testing.T) {
			n := newTestNode(t, testNodeConfig{})
			n.setPlainFaults(standinplain.Faults{DropReply: 1})
			a := orderRequest("", "flour")
			a.path = "/services/stock-ledger" + path
			if got := n.send(a); got.outcome() != outcome.Unknown || n.orderCount() != 1 {
				t.Errorf("got %d %s; %d arrived", got.status, got.outcome(), n.orderCount())
			}
		})
	}
}

// The endpoint compresses its answers for callers that accept it. The ledger keeps only
// body and content type, so the replay of a compressed body could not be read.
func TestReplayOfCompressedAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.respond = respondCompressed
	a := orderRequest("k", "flour")
	a.header["Accept-Encoding"] = "gzip"
	first := decodeBody(t, n.send(a))
	repeated := decodeBody(t, n.send(a))
	if first != confirmation || repeated != confirmation {
		t.Errorf("the caller read %q, then %q", first, repeated)
	}
}

// The endpoint's answer is longer than the ledger keeps. An empty body with the status
// of the first answer would look like the whole answer. The replay says that the order
// was placed and that its answer was not kept.
func TestReplayOfTruncatedAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.respond = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, strings.Repeat("x", ledger.DefaultMaxResultBytes+1))
	}
	n.send(orderRequest("k", "flour"))
	repeated := n.send(orderRequest("k", "flour"))
	var body outcome.Body
	if err := json.Unmarshal([]byte(repeated.body), &body); err != nil {
		t.Fatalf("%v: the caller read %d %q", err, repeated.status, repeated.body)
	}
	if repeated.status != http.StatusCreated || repeated.outcome() != outcome.Done || repeated.header.Get(outcome.HeaderReplayed) != "1" {
		t.Errorf("%d %s %v", repeated.status, repeated.outcome(), repeated.header)
	}
	if body.Error.Code != "answer_not_kept" || body.Error.Outcome != outcome.Done {
		t.Errorf("body %+v", body)
	}
}

const confirmation = "order 7 is placed"

func respondCompressed(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = io.WriteString(w, confirmation)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = io.WriteString(z, confirmation)
	_ = z.Close()
}

// decodeBody returns the body as an HTTP client library returns it.
func decodeBody(t *testing.T, got apiResponse) string {
	t.Helper()
	if got.header.Get("Content-Encoding") != "gzip" {
		return got.body
	}
	z, err := gzip.NewReader(strings.NewReader(got.body))
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
