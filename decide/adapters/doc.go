// Package adapters decides which replicas of a model hold which adapters. An adapter is a
// small addition to the weights of a model. A request may ask for a model with one of its
// adapters.
//
//	result := adapters.Decide(desired, replicas)
//	for _, change := range result.Changes {
//		// put change.Adapters in the plan by compare-and-swap, then order the engines
//	}
//
// # Terms
//
//   - The plan of a replica lists the adapters that its engines are ordered to hold.
//   - A load is the fetch of an adapter from the weight store. The rate of this store is
//     limited, and all loads share it.
//   - A holder of an adapter is a replica all of whose engines report the adapter. A
//     planned holder is a replica whose plan contains the adapter.
//   - The use rate of an adapter on a replica is the number of streams with the adapter
//     that are opened on the replica per second.
//   - The document is the configuration that operators write. It says which adapters a
//     model has, in which version, and on how many replicas each of them should be.
//   - A slot is a place for one stream in the batch of a replica. A replica is busy if at
//     least three quarters of its slots are in use (busyUtilization).
//
// # Load patterns, and the failures without this package
//
//   - One team opens many streams at the same time. All of them go to the two replicas
//     that hold the team's adapter, and wait there, while other replicas are idle. So
//     Decide places an adapter whose holders are all busy on one more replica.
//   - More adapters than fit in memory are requested in turn. If an adapter were dropped
//     as soon as it is idle, it would be fetched again and again from the weight store,
//     whose rate all loads share. So Decide drops an adapter only to make room for
//     another adapter that has too few holders, or whose holders are all busy. Decide then
//     drops the least used of the adapters with more holders than desired.
//   - A new version of an adapter is loaded beside the old version. The old version stays
//     on a replica until that replica holds the new version, so that callers always find
//     a holder. If memory has no room for both versions, the old version is dropped
//     first, but only if another replica plans the old version or holds the new version.
//
// All functions are pure: reports are arguments and changes are return values. The plan
// doesn't guarantee that an engine holds an adapter. Whether the engine holds the adapter is
// checked when a stream is sent.
package adapters
