// Package relay is the data path of one request: its caller is checked, an endpoint
// or a path is chosen, the request is sent, the answer is checked against it and
// passed on.
//
//	door (ServeHTTP) -> checks (visit) -> choice (targets) -> send (upstream)
//	    -> check (verdict) -> answer (whole, events)
//
// # What must hold
//
//   - A request that must not run twice is sent again only if the last try provably
//     did not run: it was not sent, or the endpoint says so.
//   - "Not run" (429, 503) is answered only where that is known of every try.
//   - An answer reaches its caller only if it bears the request's id, the endpoint's
//     proof and its whole length; a stream that ends early is cut, not closed.
//   - Of a stream only whole events are passed on, so that another replica can go on
//     after the last one.
//
// Which header carries what is the dialect's to know; which endpoint is to be used,
// that of targets.
package relay
