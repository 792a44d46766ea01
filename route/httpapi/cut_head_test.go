package httpapi_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// Guards against an answer that an engine or a plain endpoint has stopped in the middle of its head, and
// that callers get as a whole one with an empty or a short body.
func TestAnswersCutInTheirHeadAreNeverWhole(t *testing.T) {
	for _, bytes := range []int{1, 9, 12, 15, 16, 17, 30, 61, 80, 98} {
		t.Run(fmt.Sprint(bytes, " bytes"), func(t *testing.T) {
			n := newTestNode(t, testNodeConfig{chains: 1, tokenTime: time.Millisecond, links: true})
			n.respond = func(w http.ResponseWriter, _ *http.Request) { cutAnswer(w, bytes) }
			for _, key := range []string{"", "k"} {
				if got := n.send(orderRequest(key, "flour")); got.status < http.StatusBadRequest {
					t.Errorf("order with key %q: status %d with %q", key, got.status, got.body)
				}
			}
			if got := n.send(apiRequest{method: http.MethodGet, path: "/services/stock-ledger/stock", key: teamKey}); got.status < http.StatusBadRequest {
				t.Errorf("read: status %d with %q", got.status, got.body)
			}
			for _, each := range n.links[0] {
				each.Reset()
				each.Heal()
				each.EndAfter(bytes)
			}
			for _, stream := range []bool{true, false} {
				request := chatRequest(stream)
				request.header = map[string]string{outcome.HeaderTimeout: "2000"}
				got := n.send(request)
				if got.status == http.StatusOK && !strings.Contains(got.body, "error") {
					t.Errorf("model, streamed: %v: status %d with %q", stream, got.status, got.body)
				}
			}
			for _, each := range n.links[0] {
				each.Heal()
			}
		})
	}
}

// cutAnswer writes the first bytes of an answer and closes the connection.
func cutAnswer(w http.ResponseWriter, bytes int) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	const body = "placed"
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nDate: Mon, 01 Jan 2026 00:00:00 GMT\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.WriteString(conn, answer[:bytes]) // the node may have left
	_ = conn.Close()
}
