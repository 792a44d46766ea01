// Package relay is the data path of an admitted request: it chooses a target, sends the
// request, checks the answer and passes it on. Two listeners use it. The listener for the
// platform's callers (route/ingress) serves streams and plain services. The product's own
// listener (route/plainservice) serves plain services only.
//
//	listener (Request) -> choice (targets) -> send (upstream) -> check (attemptResult)
//	    -> answer (Serve passes it on, Do returns it)
//
// # Terms
//
//   - A target is the destination of one attempt: a replica of a plain service, or a path.
//   - A path is a list of replicas that together run a model's layers in order. Each of these
//     replicas, with the layers that it runs, is a stage of the path. The first replica
//     receives the request.
//   - A crossing is a hop of a path from one failure domain to another.
//   - The slowdown of a replica is a factor: the time that it takes for its work, divided by the
//     time that is usual for its kind of accelerator. 1 is normal speed.
//   - A replica is lost if it looks dead. A draining replica gets no new requests and continues
//     those that it has until it stops.
//   - To reroute a request is to continue it without a stage that is lost or draining, by a
//     bypass or by a migration.
//   - A bypass is a path that keeps the first stage and avoids the lost or draining stage. The
//     first replica is commanded to continue along it, and the attempt goes on.
//   - A request migrates if another first replica resumes the stream after the last event, in a
//     new attempt.
//   - A hedge is an attempt beside the present one, whose replica is silent. The attempt that has
//     the next event first goes on, and the other one is canceled.
//
// # Guarantees
//
//   - A request that must not run twice is retried only if the last attempt provably did
//     not run: it was not sent, or the endpoint says that it did not run.
//   - A refusal says "not run" (429, 503) only if every attempt provably did not run.
//   - An answer reaches its caller only if it carries the request's id, passes the
//     endpoint's own integrity checks and is complete. A stream that ends early is aborted,
//     not closed.
//   - The silence of a replica does not end an attempt at a stream. The attempt ends with its
//     replica, with its caller, at the deadline, or once a hedge has the next event.
//   - Only complete events of the stream are passed on, so that another replica can resume
//     it after the last one. Package eventstream says what an event is, and in which form it is
//     written. Of an answer to a stream that is no stream only a complete failure is passed on.
//   - An answer of any status names the request, unless it says that the request has not run.
//
// Package headers defines the headers on the wire; package targets chooses the target.
package relay
