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

// What a caller is told of orders, one after the other, and how many arrived at
// any endpoint. However the endpoint fails, none arrives twice, and asking
// again under the same key gives the same answer or says that it is unknown.
func TestOrdersArriveAtMostOnce(t *testing.T) {
	type told struct {
		ask     apiRequest
		status  int
		outcome outcome.Outcome
	}
	cases := []struct {
		name       string
		checksKeys bool
		storeDown  bool
		faults     standinplain.Faults
		told       []told
		arrived    int
	}{
		{"asked again", false, false, standinplain.Faults{}, []told{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the key is used for another order", false, false, standinplain.Faults{}, []told{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("k", "butter"), 422, outcome.NotRun},
		}, 1},
		{"two keys are two orders", false, false, standinplain.Faults{}, []told{
			{orderRequest("k", "flour"), 201, outcome.Done},
			{orderRequest("l", "flour"), 201, outcome.Done},
		}, 2},
		{"the reply is lost", false, false, standinplain.Faults{DropReply: 1}, []told{
			{orderRequest("k", "flour"), 409, outcome.Unknown},
			{orderRequest("k", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the reply is lost, no key", false, false, standinplain.Faults{DropReply: 1}, []told{
			{orderRequest("", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the endpoint fails after its work", false, false, standinplain.Faults{FailAfterWork: true}, []told{
			{orderRequest("k", "flour"), 500, outcome.Done},
			{orderRequest("k", "flour"), 500, outcome.Done},
		}, 1},
		{"every endpoint refuses", false, false, standinplain.Faults{Refuse: true}, []told{
			{orderRequest("k", "flour"), 503, outcome.NotRun},
			{orderRequest("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down", false, true, standinplain.Faults{}, []told{
			{orderRequest("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down, endpoints check keys", true, true, standinplain.Faults{}, []told{
			{orderRequest("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the store is down, no key", false, true, standinplain.Faults{}, []told{
			{orderRequest("", "flour"), 201, outcome.Done},
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestNode(t, testNodeConfig{checksKeys: c.checksKeys})
			s.setStoreDown(c.storeDown)
			s.setPlainFaults(c.faults)
			for i, want := range c.told {
				got := s.send(want.ask)
				if got.status != want.status || got.outcome() != want.outcome {
					t.Errorf("answer %d: %d %s: %s; want %d %s", i, got.status, got.outcome(), got.body, want.status, want.outcome)
				}
			}
			if n := s.orderCount(); n != c.arrived {
				t.Errorf("%d orders arrived, want %d", n, c.arrived)
			}
		})
	}
}

// The caller asks again and reads the first answer, marked as a replay.
func TestReplayReturnsFirstAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	first := s.send(orderRequest("k", "flour"))
	again := s.send(orderRequest("k", "flour"))
	if again.body != first.body || again.header.Get("Content-Type") != first.header.Get("Content-Type") {
		t.Errorf("replayed %q, want %q", again.body, first.body)
	}
	if first.header.Get(outcome.HeaderReplayed) != "" || again.header.Get(outcome.HeaderReplayed) != "1" {
		t.Errorf("replay marks: %q, then %q", first.header.Get(outcome.HeaderReplayed), again.header.Get(outcome.HeaderReplayed))
	}
}

// The caller leaves while the endpoint works on the order. The order can't be
// taken back, so the node sees it through and keeps its result: asking again
// gives the answer, and the endpoint has the order once.
func TestCanceledCallerOrderCompletes(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	s.setPlainFaults(standinplain.Faults{DelayMillis: 300})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		select {
		case <-s.plainEndpoints[0].Arrived():
		case <-s.plainEndpoints[1].Arrived():
		}
		leave()
	}()
	if got, err := s.sendWithContext(ctx, orderRequest("k", "flour")); err == nil {
		t.Fatalf("the caller left and got %+v", got)
	}
	<-s.handledCalls
	again := s.send(orderRequest("k", "flour"))
	if again.status != http.StatusCreated || again.header.Get(outcome.HeaderReplayed) != "1" || s.orderCount() != 1 {
		t.Errorf("asked again: %d %s %s; %d arrived", again.status, again.outcome(), again.body, s.orderCount())
	}
}

// The endpoint is slow, so the caller asks again under the same key while the
// first request is underway. It is told when to come back, not that the order is
// in doubt for good, and then gets the first answer; the order arrives once.
func TestRepeatedOrderWhileInProgress(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	arrived, answer := make(chan struct{}, 2), make(chan struct{})
	s.respond = func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-answer
		w.WriteHeader(http.StatusCreated)
	}
	first := make(chan apiResponse, 1)
	go func() {
		got, _ := s.sendWithContext(context.Background(), orderRequest("k", "flour"))
		first <- got
	}()
	<-arrived
	again := s.send(orderRequest("k", "flour"))
	close(answer)
	if again.status != http.StatusConflict || again.outcome() != outcome.Unknown || again.header.Get("Retry-After") != "1" {
		t.Errorf("asked again while underway: %d %s, Retry-After %q", again.status, again.outcome(), again.header.Get("Retry-After"))
	}
	if got := <-first; got.status != http.StatusCreated {
		t.Errorf("the first request was told %d", got.status)
	}
	later := s.send(orderRequest("k", "flour"))
	if later.status != http.StatusCreated || later.header.Get(outcome.HeaderReplayed) != "1" || len(arrived) != 0 {
		t.Errorf("asked later: %d %s; %d more arrived", later.status, later.outcome(), len(arrived))
	}
}

// A team's key opens every service that the team may call. An endpoint that
// logged it would give it away, so no call carries it on; what the caller's
// other headers say does go on.
func TestTeamKeyIsNotForwarded(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	a := orderRequest("k", "flour")
	a.header["Site"] = "anacortes"
	s.send(a)
	s.send(apiRequest{method: http.MethodGet, path: "/services/stock-ledger/manifests?barge=7", key: teamKey, header: map[string]string{"Site": "anacortes"}})
	if len(s.plainRequests) != 2 {
		t.Fatalf("%d calls arrived", len(s.plainRequests))
	}
	for _, r := range s.plainRequests {
		if r.Header.Get("Authorization") != "" || r.Header.Get("Site") != "anacortes" {
			t.Errorf("%s %s arrived with %v", r.Method, r.URL, r.Header)
		}
	}
}

// The endpoint gets the path that the caller wrote, byte for byte. A node that
// decoded it on the way would turn an escaped # or ? into the end of the path
// and place an order at another site.
func TestPathIsForwardedUnchanged(t *testing.T) {
	for _, path := range []string{"/", "/sites/a%23b", "/sites/a%3Fb", "/sites/100%25", "/sites/a%20b", "/sites/a%2Fb", "/sites//b", "/sites/b/?c=%23&d=1"} {
		t.Run(path, func(t *testing.T) {
			s := newTestNode(t, testNodeConfig{})
			got := s.send(apiRequest{method: http.MethodGet, path: "/services/stock-ledger" + path, key: teamKey})
			if len(s.plainRequests) != 1 || s.plainRequests[0].RequestURI != path {
				t.Errorf("answered %d; arrived %d calls, want one of %s", got.status, len(s.plainRequests), path)
				for _, r := range s.plainRequests {
					t.Logf("arrived: %s", r.RequestURI)
				}
			}
		})
	}
}

// The caller writes the path of an order in another way that the endpoint
// understands all the same. The reply is lost. The order is still one: a node
// that took it for a repeatable call would send it again.
func TestEquivalentOrderPathsAreNotRetried(t *testing.T) {
	for _, path := range []string{"/orders", "/orders/", "//orders", "/%6Frders", "/x/../orders", "/./orders"} {
		t.Run(path, func(t *testing.T) {
			s := newTestNode(t, testNodeConfig{})
			s.setPlainFaults(standinplain.Faults{DropReply: 1})
			a := orderRequest("", "flour")
			a.path = "/services/stock-ledger" + path
			if got := s.send(a); got.outcome() != outcome.Unknown || s.orderCount() != 1 {
				t.Errorf("told %d %s; %d arrived", got.status, got.outcome(), s.orderCount())
			}
		})
	}
}

// The endpoint compresses its answer for callers who allow it. Asked again under
// the same key, the caller reads the same answer: only the body and its type are
// kept, so a compressed one would come back as bytes that nobody can read.
func TestReplayOfCompressedAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	s.respond = respondCompressed
	a := orderRequest("k", "flour")
	a.header["Accept-Encoding"] = "gzip"
	first := decodeBody(t, s.send(a))
	again := decodeBody(t, s.send(a))
	if first != confirmation || again != confirmation {
		t.Errorf("the caller read %q, then %q", first, again)
	}
}

// The endpoint's answer is longer than the ledger keeps. Asked again, the caller
// is told that the order is placed and that the answer is not there any more. An
// empty body under the first answer's status would look like the whole answer.
func TestReplayOfTruncatedAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{})
	s.respond = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, strings.Repeat("x", ledger.DefaultMaxResultBytes+1))
	}
	s.send(orderRequest("k", "flour"))
	again := s.send(orderRequest("k", "flour"))
	var body outcome.Body
	if err := json.Unmarshal([]byte(again.body), &body); err != nil {
		t.Fatalf("%v: the caller read %d %q", err, again.status, again.body)
	}
	if again.status != http.StatusCreated || again.outcome() != outcome.Done || again.header.Get(outcome.HeaderReplayed) != "1" {
		t.Errorf("%d %s %v", again.status, again.outcome(), again.header)
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

// decodeBody is the body as a caller's library hands it on.
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
