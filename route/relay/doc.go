// Package relay is the data path of one request that its door has let in: an endpoint or
// a path is chosen, the request is sent, the answer is checked against it and passed on.
// Both doors use it: the users' platform's (route/ingress) with streams and plain services,
// the product's own (route/plainservice) with plain services.
//
//	door (Visit) -> choice (targets) -> send (upstream) -> check (verdict)
//	    -> answer (Serve passes it on, Do hands it back)
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
