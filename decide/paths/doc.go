// Package paths chooses, for each request, the replicas that run its tokens through
// the layers of a model. Each replica holds a span of consecutive layers.
//
// Use: keep one Selector for each model and node. Pass it the listed replicas with
// Update, ask Choose for a path, reserve capacity on that path with Reserve and give
// it back with Release. Suspect, MarkAlive, MarkLayersMissing, RecordRefusal and
// Avoid record what answers and probes have shown about a replica. A Selector is not
// safe for concurrent use; the caller locks.
//
// # Terms
//
//   - A path is a list of stages. A stage is one replica with the layers that it runs
//     for the request. A hop leads from this node to the first stage, or from one stage
//     to the next.
//   - The capacity of a replica is its KV cache memory for requests, in tokens times
//     layers: a request of 100 tokens that runs 20 layers there takes 2,000.
//   - Utilization is the reserved fraction of a capacity.
//   - The usable fraction of a capacity is the fraction that this node counts as
//     available. Refusals for lack of capacity lower the usable fraction for some seconds.
//   - A node's share is the fraction of a failure domain's capacity that the node gets if
//     the capacity is divided equally among all nodes that send requests to the domain
//     (SetShare).
//   - Peers are the other nodes that reserve capacity on the same replicas.
//   - Listed replicas are those that the last call of Update passed. A holder of a layer is
//     a listed replica whose span contains the layer.
//   - A suspected replica is one that looks dead (Suspect) and has neither answered since
//     then (MarkAlive) nor restarted.
//   - A backoff period of a replica is a time in which Choose skips the replica because the
//     replica refused a request although it has capacity.
//   - A try is one attempt to send a request to the first replica of a path. A refusal is
//     the answer of a replica that doesn't accept the request; a refusal ends the try.
//   - The slowdown of a replica is its step time divided by the usual step time of its
//     kind of card.
//   - The prefill backlog of a replica is the prefill work that this node has sent to the
//     replica and that the replica has not done yet.
//
// # Load pattern
//
// Some hundred streams run at the same time. Each stream takes KV cache memory in every
// layer until the stream ends. The cards differ tenfold in speed and threefold in memory.
// Cards fail, fill up or give up layers at any time.
//
// # Failure without this package
//
// With fixed chains the loss of one card stops a whole chain, and the smallest card of
// a chain limits its capacity. Selection by speed alone fills the fast cards, which
// then preempt their newest request in the middle of its stream.
//
// # Method
//
// A stage of a path may run any part of the span that its replica holds. Choose
// computes a shortest path through the layers. The cost of a stage is the time of its
// layers on that card, a price that rises with the utilization of the replica, and a
// fixed cost for the hop. A hop to another failure domain costs far more than a hop
// inside a domain. Capacity is reserved before the request is sent, because the
// replicas' reports of free capacity lag by some hundred requests.
//
// A replica may refuse a request although it has capacity. Such a replica is about to
// leave, gives up its layers, or waits for another replica that was lost, and the list of
// replicas doesn't show this yet. Choose skips the replica for a backoff period. Each
// further refusal doubles the period. If no other replica holds the layers of a request,
// the request waits until the period ends: each refusal costs a try, and the number of
// tries of all nodes together is limited.
//
// A reroute moves a request that runs already to another path. If a replica has no memory for it,
// the first replica of the path refuses the reroute and does not say which replica has none.
// Under load, streams last seconds, so the same replicas refuse again. All replicas that could
// have refused are left out of reroutes for a pause that doubles (PauseReroutes), unless one of
// them takes a rerouted request meanwhile.
//
// # Grounds for the figures
//
//   - The price of capacity at utilization u is u/(1-u) times the step time of a slow
//     card. At a utilization of one half the price equals this step time, so it doubles
//     the cost of a slow card. Therefore fast and slow cards fill at about the same rate,
//     and the speed of a card decides only while its utilization is low. Latency
//     objectives are met at the step time of the slowest card, so a faster path gains
//     nothing.
//   - A hop between failure domains in the middle of a path costs as much as ten usual
//     paths (crossDomainMillis). All requests share the links between domains, and a
//     prompt occupies a link for 16 ms. If the prompts of one domain cross to another
//     domain and back, they fill the link. If the first stage is in another domain
//     (remoteEntryMillis), only the answer crosses.
//   - The cost of a replica rises with the square of its slowdown: a replica at twelve
//     times its usual step time can't keep up with the requests that run through it.
package paths
