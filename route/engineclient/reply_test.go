package engineclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against replies with stray bytes whose first value counts, such as a load of zero at a busy
// engine.
func TestRepliesAreOneObject(t *testing.T) {
	const report = `{"model":"toy","first":0,"last":3,"placement_version":2}`
	body, length := "", ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := New(nil)
	defer client.CloseIdle()
	for _, c := range []struct {
		name, body, length string
		want               error
	}{
		{"a report", report, "", nil},
		{"white space", "\r\n" + report + "\n", "", nil},
		{"two reports", report + "\n" + report, "", ErrMalformed},
		{"bytes behind it", report + "stray", "", ErrMalformed},
		{"an answer behind it", report + "HTTP/1.1 200 OK\r\n\r\n", "", ErrMalformed},
		{"bytes before it", "stray" + report, "", ErrMalformed},
		{"null", "null", "", ErrMalformed},
		{"an array", "[" + report + "]", "", ErrMalformed},
		{"nothing", "", "", ErrMalformed},
		{"half of it", report[:20], "", ErrMalformed},
		{"another type", `{"first":"0"}`, "", ErrMalformed},
		{"a number that is too large", `{"first":1e400}`, "", ErrMalformed},
		{"deep nesting", strings.Repeat(`{"x":[`, 20000), "", ErrMalformed},
		{"bytes without end", report + strings.Repeat(" ", MaxReplyBytes) + "x", "", ErrEventTooLong},
		{"less than its length", report, "500", ErrTruncated},
	} {
		body, length = c.body, c.length
		got, err := client.HoldingReport(context.Background(), server.Listener.Addr().String())
		if !errors.Is(err, c.want) || (err == nil && got.PlacementVersion != 2) {
			t.Errorf("%s: %+v, %v", c.name, got, err)
		}
	}
}
