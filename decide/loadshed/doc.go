// Package loadshed decides which new requests a node admits while a service's replicas are
// saturated.
//
// Use: keep one Controller for each service and node. Call Admit for each new request, Sent when
// an admitted request begins to await its first event, and FirstEvent or Ended when it has had its
// first event or has ended without one. Tell other nodes Own, and pass what they tell to SetOthers. A Controller
// is not safe for concurrent use; the caller locks.
//
// # Terms
//
//   - A request awaits its first event from the time it is sent until its first event.
//   - The wait is the time to the first event that a new request can expect: the requests
//     that await their first event, divided by the first events per second (Little's law).
//   - A class is the requests of one priority and one team.
//   - A deferred request was refused, and its caller was told when to return. A returning
//     request has been refused before.
//
// # Load pattern
//
// For some seconds callers ask for more than the replicas can do: a burst, or the loss of
// replicas. Dozens of nodes send to the same replicas, and each node gets a few requests per
// second. Requests have priorities, and the callers belong to teams.
//
// # Failure without this package
//
// The replicas accept what they are sent, and the prompts queue there until callers give up.
// The queue then stays as long as callers wait at most: nearly all requests are answered, and
// nearly all are late, whatever their priority. After the burst the queue drains only as fast
// as the replicas have spare capacity. No node queues requests, so an order of priority in the
// queue of a node has no effect.
//
// # Rules
//
//   - A service is saturated if more requests await their first event than explains the target
//     wait, and these have been waiting for long. Until then every request is admitted.
//   - The first events per second of a saturated service are its capacity, so a loss of
//     replicas counts at once. The rate that is admitted lets the wait return to the target
//     within the horizon, in which one node's decisions become visible to the others. What these
//     decisions change before they are visible is estimated.
//   - The target is well above the time to the first event without a queue. Otherwise refusals
//     could not bring the wait back to it.
//   - If hardly any replica answers, a tenth of the former capacity is admitted, and nearly all
//     of it as soon as replicas answer again.
//   - The rate goes to the most urgent priority first. The first priority that does not fit
//     is divided between its teams by max-min fairness over what they ask for. Less urgent
//     priorities get only the reserve, which keeps them from starving.
//   - Replicas take urgent requests first, so the less urgent ones that wait there are no reason
//     to refuse urgent ones that fit the capacity.
//   - Each node admits the same fraction of each class. Nodes need no agreement: the same
//     figures give the same fractions. All figures are used as ratios, so those of nodes that
//     send none count as the mean of the others.
//   - Returning requests of a class go before others, because a caller seldom returns twice.
//   - A refused caller is told to return when the replicas can take the requests that were
//     deferred before it, of its class and of more urgent priorities.
//   - A report has at most MaxClasses classes. The smallest teams are reported together with
//     their number, and each counts as having the mean of their demand.
//
// All figures of other nodes are hints. A node that has none uses its own.
package loadshed
