// Package adapters decides which replicas of a model hold which adapters.
//
//	result := adapters.Decide(wanted, replicas)
//	for _, change := range result.Changes {
//		// put change.Adapters in the plan by compare-and-swap, then order the engines
//	}
//
// The load patterns that it answers:
//
//   - One team's dawn rush falls on the two replicas that hold its adapter while
//     the rest idle. An adapter whose holders are all busy is put on one more
//     replica; without it the rush waits for two replicas.
//   - More adapters than memory holds, asked for in turn. Nothing is dropped
//     because it is idle, only to make room for an adapter that is short, and then
//     the least used of those that are held more often than asked. Dropped as soon
//     as they were idle, adapters would be fetched again and again from a weight
//     store whose rate all loads share.
//   - A new version of an adapter. It is loaded beside the old one, and the old one
//     stays on a replica until that replica has the new one, so that callers always
//     find a holder. Where memory has no room for both, the old one goes first, but
//     only while another replica holds either.
//
// All is pure: reports come in as values and changes go out as values. Whether an
// engine holds an adapter is checked where a stream is sent; this package only
// makes it likely.
package adapters
