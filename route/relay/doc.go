// Package relay is the data path of an admitted request: it chooses an endpoint or a path of
// replicas, sends the request, checks the answer and passes it on. Two listeners use it: the
// one for the platform's callers (route/ingress), with streams and plain services, and the
// product's own (route/plainservice), with plain services only.
//
//	listener (Request) -> choice (targets) -> send (upstream) -> check (attemptResult)
//	    -> answer (Serve passes it on, Do returns it)
//
// # Guarantees
//
//   - A request that must not run twice is retried only if the last attempt provably did
//     not run: it was not sent, or the endpoint says that it did not run.
//   - "Not run" (429, 503) is answered only if it is known of every attempt.
//   - An answer reaches its caller only if it carries the request's id, passes the
//     endpoint's own integrity checks and is complete. A stream that ends early is aborted,
//     not closed.
//   - Only complete events of a stream are passed on, so that another replica can resume
//     the stream after the last one.
//
// Package headers knows which header carries what; package targets chooses the endpoint.
package relay
