// Package upstream sends requests to endpoints over a pool of persistent connections, one
// request at a time on each connection. For every failure it tells whether the endpoint can
// have read the request.
//
//	exchange, err := pool.Send(ctx, upstream.Request{...})
//	var failure *upstream.Failure // the type of every error; tells whether the request was sent
//	defer exchange.Close()
//	... exchange.Response, exchange.Read ...
//
// The client of the standard library is not used, for three reasons:
//
//   - When a reused connection breaks, the client may retry the request by itself. The retry
//     can run a non-idempotent request twice, and no retry budget counts the retry.
//   - The client takes the next bytes on a reused connection for the answer. If an endpoint
//     answers a request twice, the next caller gets the second answer.
//   - The client decides by itself when to open connections, but an endpoint accepts only a
//     limited number of connections from all nodes together.
//
// Requests are encoded with the standard library's functions. Package httpanswer reads the answers and decides
// what is one.
package upstream
