// Package retry decides whether a failed attempt may be tried again.
//
// Use: keep one Budget per service and node. Call Success for each complete
// answer and Allow for each failed attempt; act on the Decision. A Budget is
// not safe for concurrent use; the caller locks.
//
// The load pattern it answers: many attempts fail at once, because a third of
// the endpoints is lost or because all of them are too slow. Without it each
// failure is sent again, up to the limit of attempts: a service that fails for
// want of capacity then gets a multiple of its load, fails more, and stays down
// after the cause has gone.
//
// Grounds for the figures:
//   - DefaultShare 0.1: in a lasting outage the endpoints get at most 1.1 times
//     the load of the callers; the retry storm of three attempts each is 3.
//   - DefaultBurst 100: the loss of a third of the endpoints breaks a third of
//     a node's streams at once. At the target size that is about 50 requests a
//     second of 7 s, of which a third is 117; a burst of 100 saves most of them
//     and is 2 s of a node's load.
//   - DefaultFloor 0.2 a second: a quiet service earns no budget by successes,
//     yet a retry each 5 s there harms nobody.
//   - Delays of 25 ms to 1 s, half of each jittered: the first retry goes to
//     another endpoint, so it need not wait for a recovery; the jitter keeps
//     callers that failed together from returning together.
//
// Where the endpoints bound the tries of all nodes in a window, a Budget with a Window
// keeps this node's part of them: nothing needs to be saved up, since many are needed at
// once, when a replica is lost under all streams of a failure domain, and seldom else.
//
// Overload is never retried: a refusal for want of room is the endpoint's own
// plea for less load, and the answer is given to the caller with Retry-After.
package retry
