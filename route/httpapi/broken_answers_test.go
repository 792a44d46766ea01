package httpapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// answerRaw writes the bytes of an answer and ends the connection.
func answerRaw(w http.ResponseWriter, answer string, end func(*net.TCPConn)) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	_, _ = io.WriteString(conn, answer) // the node may have left
	end(conn.(*net.TCPConn))
	_ = conn.Close()
}

// Guards against an order that is kept as placed, with a part of an answer, because its endpoint answers before it
// has read the order and resets the connection.
func TestOrdersWhoseAnswerIsResetDuringTheUploadAreUnknown(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.respond = func(w http.ResponseWriter, _ *http.Request) {
		answerRaw(w, "HTTP/1.1 200 OK\r\n\r\na part", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	}
	order := strings.Repeat("flour ", 680_000)
	for i := range 12 {
		key := []string{"", fmt.Sprint("key-", i)}[i%2]
		if got := n.send(orderRequest(key, order)); got.status < http.StatusBadRequest || got.outcome() != outcome.Unknown {
			t.Errorf("order with key %q: %d %s %q", key, got.status, got.outcome(), got.body)
		}
	}
}

// Guards against answers of plain endpoints whose head is none, and that callers get or that are kept for an order.
func TestAnswersWithBrokenHeadsReachNoCaller(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	i := 0
	for name, answer := range answertest.Broken("STRAY") {
		i++
		n.respond = func(w http.ResponseWriter, _ *http.Request) { answerRaw(w, answer, func(*net.TCPConn) {}) }
		for _, request := range []apiRequest{
			orderRequest("", "flour"), orderRequest(fmt.Sprint("key-", i), "flour"), orderRequest(fmt.Sprint("key-", i), "flour"),
			{method: http.MethodGet, path: "/services/stock-ledger/stock", key: teamKey, header: map[string]string{outcome.HeaderTimeout: "150"}},
		} {
			got := n.send(request)
			if got.status < http.StatusBadRequest || got.outcome() != outcome.Unknown || strings.Contains(got.body, "STRAY") {
				t.Errorf("%s: %s: %d %s %q", name, request.method, got.status, got.outcome(), got.body)
			}
		}
	}
}

// Guards against an order that is told not to have run, and is sent to another endpoint: a refusal says that it has not,
// and turns out to be no answer by its trailers, or by a reset during the upload.
func TestRefusalsWithBrokenEndsProveNothing(t *testing.T) {
	const refusal, notRun = "503 Service Unavailable", engineapi.HeaderNotRun + ": 1\r\n"
	n := newTestNode(t, testNodeConfig{})
	order := func(name, body string) {
		for _, key := range []string{"", "key " + name} {
			if got := n.send(orderRequest(key, body)); got.outcome() != outcome.Unknown {
				t.Errorf("%s, key %q: %d %s %q", name, key, got.status, got.outcome(), got.body)
			}
		}
	}
	for name, answer := range answertest.BrokenTrailers(refusal, "STRAY", notRun) {
		n.respond = func(w http.ResponseWriter, _ *http.Request) { answerRaw(w, answer, func(*net.TCPConn) {}) }
		order(name, "flour")
	}
	n.respond = func(w http.ResponseWriter, _ *http.Request) {
		answerRaw(w, "HTTP/1.1 "+refusal+"\r\n"+notRun+"\r\na part", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	}
	for i := range 6 {
		order(fmt.Sprint("reset ", i), strings.Repeat("flour ", 680_000))
	}
}
