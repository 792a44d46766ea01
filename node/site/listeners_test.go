package site

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against an answer that is lost because its node ends between the end of the request's handler, after which the
// request no longer counts as under way, and the write of the answer.
func TestDoorsCloseAfterTheLastAnswerIsWritten(t *testing.T) {
	const stops = 300
	lost := 0
	for range stops {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n, begun := &Node{}, atomic.Bool{}
		d := &doors{listeners: []net.Listener{listener}, servers: []*http.Server{{Handler: n.counted(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			begun.Store(true)
			_, _ = w.Write([]byte("done"))
		}))}}}
		d.serve()
		answered := make(chan error, 1)
		go func() {
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request(t, "http://"+listener.Addr().String()))
			if err == nil {
				response.Body.Close()
			}
			answered <- err
		}()
		for !begun.Load() || n.underway.Load() > 0 {
			continue
		}
		d.close()
		if <-answered != nil {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d answers were lost", lost, stops)
	}
}

func request(t *testing.T, url string) *http.Request {
	q, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return q
}
