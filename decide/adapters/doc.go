// Package adapters decides which replicas of a model hold which adapters.
//
//	result := adapters.Decide(desired, replicas)
//	for _, change := range result.Changes {
//		// put change.Adapters in the plan by compare-and-swap, then order the engines
//	}
//
// # Load patterns, and the failure without it
//
//   - The dawn rush of one team goes to the two replicas that hold its adapter, while
//     the other replicas are idle. An adapter whose holders are all busy is placed on one
//     more replica; otherwise the rush waits for two replicas.
//   - More adapters than fit in memory are requested in turn. An adapter is never
//     dropped because it is idle, but only to make room for one with too few holders, and
//     then the least used of those with more holders than desired. If idle adapters were
//     dropped at once, they would be fetched again and again from the weight store, whose
//     rate all loads share.
//   - A new version of an adapter is loaded beside the old one. The old version stays on a
//     replica until that replica holds the new one, so that callers always find a
//     holder. Where memory has no room for both, the old version is dropped first, but
//     only while another replica holds either version.
//
// All functions are pure: reports are arguments and changes are return values. Whether an
// engine holds an adapter is checked when a stream is sent; this package only makes it
// likely.
package adapters
