package stream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// If each stream opened a new connection, a node would run out of local ports at some
// hundred answers a second. A connection can be reused only if the node reads the line
// [DONE] and the end of the body after the closing event.
func TestWholeAnswersShareAConnection(t *testing.T) {
	var connections atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathHolding, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"model":"m","first":0,"last":0}`)
	})
	mux.HandleFunc(engineapi.PathChat, func(w http.ResponseWriter, _ *http.Request) {
		trace := `"cicadatack":{"stream":"s","epoch":1,"position":%d,"spans":[{"first":0,"last":0}]}`
		fmt.Fprintf(w, `data: {"choices":[{"delta":{"content":"a"}}],`+trace+"}\n\n", 0)
		fmt.Fprintf(w, `data: {"choices":[{"delta":{},"finish_reason":"stop"}],`+trace+"}\n\n", 1)
		w.(http.Flusher).Flush() // sends the end of the body separately from the last event
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := engineclient.New(nil)
	defer client.CloseIdle()
	stage := engineapi.Stage{Endpoint: "e", Address: server.Listener.Addr().String()}
	runner := New(client, oneChain{Chain{Replica: "r", Stages: []engineapi.Stage{stage}}}, Options{})
	for range 50 {
		req := Request{StreamID: "s", Layers: 1, Chat: engineapi.ChatRequest{Model: "m"}}
		_, err := runner.Run(context.Background(), req, func(string, engineapi.TokenTrace) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n > 2 {
		t.Errorf("%d connections for 50 consecutive answers, want at most 2", n)
	}
}
