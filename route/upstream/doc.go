// Package upstream sends requests to endpoints over a pool of persistent connections, one
// request at a time on each. For every failure it tells whether the endpoint can have read the
// request.
//
//	exchange, err := pool.Send(ctx, upstream.Request{...})
//	var failure *upstream.Failure // the type of every error; tells whether the request was sent
//	defer exchange.Close()
//	... exchange.Response, exchange.Read ...
//
// The client of the standard library is not used, because callers would see three failures:
//
//   - When a reused connection breaks, it may retry the request by itself. That runs a
//     non-idempotent request twice, and no retry budget counts it.
//   - It takes the next bytes on a reused connection for the answer. If an endpoint answers
//     twice, the next caller gets the second answer.
//   - It decides by itself when to open connections, while an endpoint accepts only a limited
//     number from all nodes together.
//
// Requests are encoded and answers parsed with the standard library's functions.
package upstream
