// Package upstream sends requests to endpoints over connections that it keeps, one
// request at a time on each, and says of every failure whether the endpoint can have
// read the request.
//
//	exchange, err := pool.Send(ctx, upstream.Request{...})
//	var failure *upstream.Failure // every error is one; it says what is proved
//	defer exchange.Close()
//	... exchange.Response, exchange.Read ...
//
// The standard library's client is not used, for three failures that callers would
// see:
//
//   - It sends a request again by itself when a kept connection breaks, which runs
//     an order twice, and says nothing of it, so that no budget of retries counts it.
//   - It takes whatever comes next on a kept connection for the answer. An endpoint
//     that answers twice would have its second answer given to the next caller.
//   - It decides alone when to open connections, of which an endpoint takes only so
//     many from all nodes together.
//
// Requests are written and answers parsed by the library's own codec.
package upstream
