package httpapi_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
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
		key := []string{"", "key-" + string(rune('a'+i))}[i%2]
		if got := n.send(orderRequest(key, order)); got.status < http.StatusBadRequest || got.outcome() != outcome.Unknown {
			t.Errorf("order with key %q: %d %s %q", key, got.status, got.outcome(), got.body)
		}
	}
}
