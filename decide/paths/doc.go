// Package paths chooses, for each request, the replicas that run its tokens through
// the layers of a model. Each replica holds a span of the layers.
//
// Use: keep one Selector for each model and node. Pass it the listed replicas with
// Update, ask Choose for a path, reserve capacity on that path with Reserve and give
// it back with Release. Suspect, MarkAlive, MarkLayersMissing, RecordRejection and
// Avoid record what answers and probes have shown. A Selector is not safe for
// concurrent use; the caller locks.
//
// # Load pattern
//
// Some hundred concurrent streams, each of which takes KV cache memory in every layer
// for as long as it lasts, on cards that differ tenfold in speed and threefold in
// memory. Cards fail, fill up or give up layers at any time.
//
// # Failure without it
//
// With fixed chains the loss of one card stops a whole chain, and the smallest card of
// a chain limits its capacity. Selection by speed alone fills the fast cards, which
// then preempt their newest request in the middle of its stream.
//
// # Method
//
// A stage of a path may run any part of the span that its replica holds. Choose
// computes a shortest path through the layers. The cost of a stage is the time of its
// layers on that card, a price for the reserved capacity of the replica, and a fixed
// cost for the hop. Leaving the failure domain costs far more. Capacity is reserved
// before the request is sent, because reports of it lag by some hundred requests.
//
// A replica that refuses a request although it has capacity does so for a reason that
// the list doesn't show yet: it is about to leave, gives up its layers, or waits for a
// lost replica. It is skipped for a backoff period that doubles with each further
// refusal. Requests for which there is no other holder wait, because each refusal costs
// a try and the tries of all nodes are limited.
//
// # Grounds for the figures
//
//   - The price of capacity is u/(1-u) of a step on a slow card, at utilization u. At
//     half of the capacity it doubles the cost of a slow card, so fast and slow cards
//     fill at about the same rate, and speed decides only while there is capacity.
//     Latency objectives are met at the pace of the slowest card, so more speed gains
//     nothing.
//   - Crossing failure domains in the middle of a path costs as much as ten paths
//     (crossDomainMillis). All requests share the links between domains, a prompt
//     occupies a link for 16 ms, and the prompts of one domain, crossing twice, fill
//     it. A first stage in another domain (remoteEntryMillis) transfers only the
//     answer.
//   - The slowdown of a replica is squared: a replica at twelve times its usual step
//     time can't keep up with the requests that run through it.
package paths
