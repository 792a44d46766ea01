// Package retry decides whether a failed attempt of a request may be retried.
//
// # Use
//
// Keep one Budget per service and node. Call Success for each complete response
// and Allow for each failed attempt, and act on the returned Decision. A Budget is
// not safe for concurrent use; the caller locks.
//
// # Load pattern
//
// Many attempts fail at once, because a third of the endpoints has failed or because
// all endpoints are too slow.
//
// # Failures without a retry budget
//
// Each failure is retried up to the attempt limit. A service that fails for lack
// of capacity then receives a multiple of its normal load, fails more often, and
// stays down after the original cause is gone.
//
// # Grounds for the defaults
//
//   - DefaultRetryRatio 0.1: in a long outage the endpoints receive at most 1.1
//     times the callers' load. Three attempts per request would triple the load.
//   - DefaultBurst 100: losing a third of the endpoints breaks a third of a node's
//     streams at once. At the target size a node serves about 50 requests a second
//     of 7 s each, so 350 streams run at a time and 117 of them break. A burst of 100
//     retries saves most of these streams and equals 2 s of the node's load.
//   - DefaultMinRetriesPerSecond 0.2: a service with little traffic earns hardly any
//     retries from successes. One retry every 5 s does no harm there.
//   - DefaultBaseDelay 25 ms and DefaultMaxDelay 1 s: the first retry goes to another
//     endpoint, so it need not wait until the failed endpoint recovers. Each delay is
//     drawn at random between half of the backoff and the whole of it, so that requests
//     that failed together are not retried together.
//
// # Window limit
//
// Where the endpoints limit the retries of all nodes per time window, a Budget with
// Config.Window enforces this node's part of that limit. Retries are then rarely
// needed, but many are needed at once when a replica fails that serves all streams of a
// failure domain. The full burst is therefore available without being saved up first.
//
// # Loans
//
// A Budget with Config.LoanLifetime can lend retries to other nodes and borrow from them
// (decide/retryloans). What it lends counts as spent until one Window after the borrower's
// last possible use. What it borrows is kept apart from its own and ends at a given time.
//
// # Overload
//
// A request that an endpoint refuses for lack of capacity is never retried. Such an
// endpoint needs less load, so its refusal goes to the caller with Retry-After.
package retry
