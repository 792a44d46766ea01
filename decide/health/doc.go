// Package health detects outliers in a set of endpoints and tells which endpoints
// to leave out for a while.
//
// # Use
//
// Keep one Detector per set of endpoints that serve the same requests. Track each
// endpoint. Call Sent when a request is sent, FirstResponse when the first part of
// its response arrives, and Observe when its outcome is known. Call Evaluate when
// Due. Read State before sending; Version changes whenever a state does. An
// endpoint in state Probing takes one request at a time, when NeedsProbe is true. A
// Detector is not safe for concurrent use; the caller locks.
//
// # Load pattern
//
// One endpoint among many is slow, fails or has frozen.
//
// # Failure without it
//
// An endpoint that fails immediately looks idle, so a load-based balancer sends it
// more requests than any other (a black hole). A slow or frozen endpoint delays its
// share of the callers for as long as the fault lasts.
//
// # Limits
//
// Overloaded and leaving endpoints are not ejected (see Failure.Faulty). Slow and
// erroneous endpoints are ejected only while at most MaxEjectedShare of the set is
// out of rotation, and unresponsive ones up to MaxUnresponsiveShare. Beyond that the
// cause lies elsewhere, and the remaining endpoints would be overloaded.
//
// # Reasons for the values
//
//   - Interval 500 ms: an evaluation sorts the delays of the set, which takes some
//     microseconds. A slow endpoint is out of rotation within a few seconds.
//   - MaxConsecutive 3: an endpoint that fails one call in ten reaches it by
//     chance once in a thousand calls. A dead endpoint costs three retries.
//   - LatencyFactor 3 over the median, and LatencyFloor 50 ms above it: the moving
//     average spans about nine responses, so exponentially distributed delays reach
//     3 times their mean only at six standard deviations of the average. Differences below the
//     floor are not noticeable. Delays are multiplied by the endpoint's weight, so a
//     slower kind of accelerator is not an outlier.
//   - SilenceFactor 5 and SilenceFloor 1 s: an endpoint that sends nothing for this
//     long while requests are outstanding has frozen; a long response does not look
//     like that.
//   - BaseEjection 5 s, doubling to MaxEjection 60 s: a short fault costs seconds, a
//     lasting one costs one probe per minute and node.
//   - MaxEjectedShare 0.5: half of the endpoints cannot be outliers.
//   - MaxUnresponsiveShare 0.75: all endpoints of the nearest failure domain, three
//     quarters of a balance subset, can be left out at once.
package health
