// Package health detects outliers in a set of endpoints and decides which
// endpoints get no requests for a while.
//
// # Use
//
// Keep one Detector per set of endpoints that serve the same requests. Track
// each endpoint and name its group, for example its failure domain. The delays
// of an endpoint are compared with those of its group. Call Sent when a request
// is sent, FirstResponse when the first part of its response arrives, and
// Observe when its outcome is known. Call Evaluate when Due returns true. Read
// State before sending a request; Version changes whenever the state of an
// endpoint does. An endpoint in state Probing takes one request at a time, and
// only when NeedsProbe is true. A Detector is not safe for concurrent use; the
// caller locks.
//
// # Load pattern
//
// One endpoint among many is slow, fails or has frozen.
//
// # Failure without this package
//
// An endpoint that fails immediately looks idle, so a load-based balancer sends it
// more requests than any other (a black hole). A slow or frozen endpoint delays its
// share of the callers for as long as the fault lasts.
//
// # Limits of ejection
//
// Overloaded and leaving endpoints are not ejected (see Failure.Faulty). An
// endpoint is out of rotation while it is ejected or probing. The error share of
// an endpoint is the share of its requests that fail, as a moving average. The
// slowness of an endpoint is its delay divided by the median delay, limited to the
// range from 1 to 4. For
// slowness or for its error share, an endpoint is ejected only if at most
// MaxEjectedShare of the set is then out of rotation. For all other causes the
// bound is MaxUnresponsiveShare. If more endpoints than that are slow or fail,
// the cause lies elsewhere, and the remaining endpoints would be overloaded.
//
// # Reasons for the values
//
//   - Interval 500 ms: an evaluation sorts the delays of the set, which takes some
//     microseconds. A slow endpoint is out of rotation within a few seconds.
//   - MaxConsecutive 3: an endpoint that fails one request in ten has three
//     failures in a row by chance only once in a thousand requests. A dead
//     endpoint costs three retries.
//   - LatencyFactor 3 times the median delay, and LatencyFloor 50 ms above it:
//     the moving average of an endpoint's delays spans about nine responses. If
//     delays are exponentially distributed, the standard deviation of this
//     average is a third of the mean delay. Three times the mean delay is then
//     six standard deviations above the mean. Differences below the floor are
//     not noticeable. The balancer multiplies the delays that it records by the
//     endpoint's weight, so a slower kind of accelerator is not an outlier.
//   - SilenceFactor 5 and SilenceFloor 1 s: an endpoint that sends nothing for
//     this long while requests are outstanding has frozen. An endpoint that is
//     still sending a long response is not silent for this long.
//   - BaseEjection 5 s, doubling to MaxEjection 60 s: for a short fault the
//     endpoint is out of rotation for seconds. A lasting fault costs each node
//     one probe per minute.
//   - MaxEjectedShare 0.5: if more than half of the endpoints differ from the
//     others, they are not outliers.
//   - MaxUnresponsiveShare 0.75: all endpoints of the nearest failure domain can
//     be out of rotation at once. The endpoints of this domain are three
//     quarters of those among which a balancer chooses.
package health
