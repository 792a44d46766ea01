// Package health tells which endpoints to leave out for a while.
//
// Use: keep one Detector per set of endpoints that serve alike. Track each
// endpoint; call Sent when a request goes out, Heard when its first sign of an
// answer comes back and Observe for what became known of it. Call Judge when
// Due. Read State before sending; Version changes whenever a state does. An
// endpoint in state Probing takes one request at a time, when WantsProbe says
// so. A Detector is not safe for concurrent use; the caller locks.
//
// The load pattern it answers: one endpoint among many is slow, fails or has
// frozen. Without it an endpoint that fails at once looks idle, so a balancer
// by load sends it more than any other (the black hole); a slow or frozen one
// holds its share of the callers for as long as it lasts.
//
// What it does not do: full and leaving endpoints are not ejected (see
// Failure.Faulty). Slow and erring endpoints are ejected only while no more than
// MaxEjectedShare of the set is out, unanswering ones up to MaxLostShare: beyond
// that the cause lies elsewhere and the rest would drown.
//
// Grounds for the figures:
//   - Interval 500 ms: a judgement costs a sort of the set's delays, some
//     microseconds; a slow endpoint is out within a few seconds.
//   - MaxConsecutive 3: an endpoint that fails one call in ten reaches it by
//     chance once in a thousand calls; a dead one costs three retries.
//   - LatencyFactor 3 over the median, and LatencyFloor 50 ms above it: the
//     moving average spans about nine answers, so exponentially spread delays
//     reach 3 times their mean only at six deviations; below the floor nobody
//     notices. Delays are given times the endpoint's weight, so a slower kind
//     of accelerator is no outlier.
//   - SilenceFactor 5 and SilenceFloor 1 s: nothing heard for this long with
//     work outstanding is a freeze, not a long answer.
//   - BaseEjection 5 s doubling to MaxEjection 60 s: a blip costs seconds, a
//     lasting fault one probe a minute and node.
//   - MaxEjectedShare 0.5: half of the endpoints cannot be outliers.
//   - MaxLostShare 0.75: all of the nearest failure domain, three quarters of a
//     balance subset, can be left out at once.
package health
