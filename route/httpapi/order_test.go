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

const orders = "/services/stock-ledger/orders"

func order(key, body string) asked {
	a := asked{method: http.MethodPost, path: orders, key: teamKey, body: body}
	if key != "" {
		a.header = map[string]string{outcome.HeaderIdempotencyKey: key}
	}
	return a
}

// What a caller is told of orders, one after the other, and how many arrived at
// any endpoint. However the endpoint fails, none arrives twice, and asking
// again under the same key gives the same answer or says that it is unknown.
func TestOrders(t *testing.T) {
	type told struct {
		ask     asked
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
			{order("k", "flour"), 201, outcome.Done},
			{order("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the key is used for another order", false, false, standinplain.Faults{}, []told{
			{order("k", "flour"), 201, outcome.Done},
			{order("k", "butter"), 422, outcome.NotRun},
		}, 1},
		{"two keys are two orders", false, false, standinplain.Faults{}, []told{
			{order("k", "flour"), 201, outcome.Done},
			{order("l", "flour"), 201, outcome.Done},
		}, 2},
		{"the reply is lost", false, false, standinplain.Faults{DropReply: 1}, []told{
			{order("k", "flour"), 409, outcome.Unknown},
			{order("k", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the reply is lost, no key", false, false, standinplain.Faults{DropReply: 1}, []told{
			{order("", "flour"), 409, outcome.Unknown},
		}, 1},
		{"the endpoint fails after its work", false, false, standinplain.Faults{FailAfterWork: true}, []told{
			{order("k", "flour"), 500, outcome.Done},
			{order("k", "flour"), 500, outcome.Done},
		}, 1},
		{"every endpoint refuses", false, false, standinplain.Faults{Refuse: true}, []told{
			{order("k", "flour"), 503, outcome.NotRun},
			{order("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down", false, true, standinplain.Faults{}, []told{
			{order("k", "flour"), 503, outcome.NotRun},
		}, 0},
		{"the store is down, endpoints check keys", true, true, standinplain.Faults{}, []told{
			{order("k", "flour"), 201, outcome.Done},
		}, 1},
		{"the store is down, no key", false, true, standinplain.Faults{}, []told{
			{order("", "flour"), 201, outcome.Done},
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, siteConfig{checksKeys: c.checksKeys})
			s.storeDown(c.storeDown)
			s.misbehave(c.faults)
			for i, want := range c.told {
				got := s.ask(want.ask)
				if got.status != want.status || got.outcome() != want.outcome {
					t.Errorf("answer %d: %d %s: %s; want %d %s", i, got.status, got.outcome(), got.body, want.status, want.outcome)
				}
			}
			if n := s.arrived(); n != c.arrived {
				t.Errorf("%d orders arrived, want %d", n, c.arrived)
			}
		})
	}
}

// The caller asks again and reads the first answer, marked as a replay.
func TestReplayIsTheFirstAnswer(t *testing.T) {
	s := newSite(t, siteConfig{})
	first := s.ask(order("k", "flour"))
	again := s.ask(order("k", "flour"))
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
func TestCallerLeavesDuringAnOrder(t *testing.T) {
	s := newSite(t, siteConfig{})
	s.misbehave(standinplain.Faults{DelayMillis: 300})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		select {
		case <-s.plains[0].Arrived():
		case <-s.plains[1].Arrived():
		}
		leave()
	}()
	if got, err := s.askWith(ctx, order("k", "flour")); err == nil {
		t.Fatalf("the caller left and got %+v", got)
	}
	<-s.ended
	again := s.ask(order("k", "flour"))
	if again.status != http.StatusCreated || again.header.Get(outcome.HeaderReplayed) != "1" || s.arrived() != 1 {
		t.Errorf("asked again: %d %s %s; %d arrived", again.status, again.outcome(), again.body, s.arrived())
	}
}

// The endpoint is slow, so the caller asks again under the same key while the
// first request is underway. It is told when to come back, not that the order is
// in doubt for good, and then gets the first answer; the order arrives once.
func TestOrderAskedAgainWhileUnderway(t *testing.T) {
	s := newSite(t, siteConfig{})
	arrived, answer := make(chan struct{}, 2), make(chan struct{})
	s.respond = func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-answer
		w.WriteHeader(http.StatusCreated)
	}
	first := make(chan received, 1)
	go func() {
		got, _ := s.askWith(context.Background(), order("k", "flour"))
		first <- got
	}()
	<-arrived
	again := s.ask(order("k", "flour"))
	close(answer)
	if again.status != http.StatusConflict || again.outcome() != outcome.Unknown || again.header.Get("Retry-After") != "1" {
		t.Errorf("asked again while underway: %d %s, Retry-After %q", again.status, again.outcome(), again.header.Get("Retry-After"))
	}
	if got := <-first; got.status != http.StatusCreated {
		t.Errorf("the first request was told %d", got.status)
	}
	later := s.ask(order("k", "flour"))
	if later.status != http.StatusCreated || later.header.Get(outcome.HeaderReplayed) != "1" || len(arrived) != 0 {
		t.Errorf("asked later: %d %s; %d more arrived", later.status, later.outcome(), len(arrived))
	}
}

// A team's key opens every service that the team may call. An endpoint that
// logged it would give it away, so no call carries it on; what the caller's
// other headers say does go on.
func TestEndpointsNeverSeeTheTeamsKey(t *testing.T) {
	s := newSite(t, siteConfig{})
	a := order("k", "flour")
	a.header["Site"] = "anacortes"
	s.ask(a)
	s.ask(asked{method: http.MethodGet, path: "/services/stock-ledger/manifests?barge=7", key: teamKey, header: map[string]string{"Site": "anacortes"}})
	if len(s.seen) != 2 {
		t.Fatalf("%d calls arrived", len(s.seen))
	}
	for _, r := range s.seen {
		if r.Header.Get("Authorization") != "" || r.Header.Get("Site") != "anacortes" {
			t.Errorf("%s %s arrived with %v", r.Method, r.URL, r.Header)
		}
	}
}

// The endpoint gets the path that the caller wrote, byte for byte. A node that
// decoded it on the way would turn an escaped # or ? into the end of the path
// and place an order at another site.
func TestPathsArriveAsWritten(t *testing.T) {
	for _, path := range []string{"/", "/sites/a%23b", "/sites/a%3Fb", "/sites/100%25", "/sites/a%20b", "/sites/a%2Fb", "/sites//b", "/sites/b/?c=%23&d=1"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t, siteConfig{})
			got := s.ask(asked{method: http.MethodGet, path: "/services/stock-ledger" + path, key: teamKey})
			if len(s.seen) != 1 || s.seen[0].RequestURI != path {
				t.Errorf("answered %d; arrived %d calls, want one of %s", got.status, len(s.seen), path)
				for _, r := range s.seen {
					t.Logf("arrived: %s", r.RequestURI)
				}
			}
		})
	}
}

// The caller writes the path of an order in another way that the endpoint
// understands all the same. The reply is lost. The order is still one: a node
// that took it for a repeatable call would send it again.
func TestOrdersInOtherSpellings(t *testing.T) {
	for _, path := range []string{"/orders", "/orders/", "//orders", "/%6Frders", "/x/../orders", "/./orders"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t, siteConfig{})
			s.misbehave(standinplain.Faults{DropReply: 1})
			a := order("", "flour")
			a.path = "/services/stock-ledger" + path
			if got := s.ask(a); got.outcome() != outcome.Unknown || s.arrived() != 1 {
				t.Errorf("told %d %s; %d arrived", got.status, got.outcome(), s.arrived())
			}
		})
	}
}

// The endpoint compresses its answer for callers who allow it. Asked again under
// the same key, the caller reads the same answer: only the body and its type are
// kept, so a compressed one would come back as bytes that nobody can read.
func TestReplayOfACompressedAnswer(t *testing.T) {
	s := newSite(t, siteConfig{})
	s.respond = compressing
	a := order("k", "flour")
	a.header["Accept-Encoding"] = "gzip"
	first := readable(t, s.ask(a))
	again := readable(t, s.ask(a))
	if first != confirmation || again != confirmation {
		t.Errorf("the caller read %q, then %q", first, again)
	}
}

// The endpoint's answer is longer than the ledger keeps. Asked again, the caller
// is told that the order is placed and that the answer is not there any more. An
// empty body under the first answer's status would look like the whole answer.
func TestReplayOfAnAnswerTooLongToKeep(t *testing.T) {
	s := newSite(t, siteConfig{})
	s.respond = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, strings.Repeat("x", ledger.DefaultMaxResultBytes+1))
	}
	s.ask(order("k", "flour"))
	again := s.ask(order("k", "flour"))
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

func compressing(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = io.WriteString(w, confirmation)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = io.WriteString(z, confirmation)
	_ = z.Close()
}

// readable is the body as a caller's library hands it on.
func readable(t *testing.T, got received) string {
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
