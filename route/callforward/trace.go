package callforward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// traceConnection returns a context in which a request tells whether it got a connection. Without
// one, nothing of the request was sent.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), &connected
}
