// Package cacheindex estimates which replica has which prompt prefixes in its
// cache, from events that engines publish late and with gaps.
//
//	index := cacheindex.New(cacheindex.Config{})
//	index.Retain(subset)
//	page := ask(replica, index.LastSequence(replica))
//	index.Apply(now, replica, page)
//	holders := index.Holders(now, prefixes)
//	choice, ok := balancer.Pick(now, balance.Query{Prefix: hash, Holders: holders})
//
// # Load pattern
//
// A popular prefix needs more capacity than the replica that its hash selects, and
// the surplus goes to other replicas by load.
//
// # Failure without it
//
// After a while several of these replicas have the prefix cached, but a node does
// not know which ones. Callers wait while a replica computes a prompt that another
// replica has cached. The same happens after a configuration document has changed
// the replica that each prefix hashes to.
//
// # Stale entries
//
// The index is only a hint. The balancer uses a holder only within its bound on
// load. A wrong hint costs one prompt computation, after which it is correct. To
// keep wrong hints rare, entries that the engine may have evicted are dropped:
//   - A new instance, or a sequence number lower than before, clears the replica's
//     entries: the engine has restarted.
//   - A gap of n events drops the n oldest entries, or all if there are fewer. Each
//     lost event may have been an eviction, and engines evict the oldest entries.
//   - A replica that does not answer has no holders until it answers again.
//
// The index is approximate and bounded: it keeps the Config.Entries most recently
// used prefixes of each replica.
//
// # Reasons for the values
//
// DefaultEntries 256: a list element and a map entry take about 150 bytes, so the 32
// replicas of a subset take about 1.2 MB. Prompts share prefixes, and shared
// prefixes are requested again and stay in the index.
// DefaultStaleAfter 10 s is well above the lag of an engine's events, and less than
// the time in which an engine restarts and loads its layers. Where polls are further
// apart, staleAfterPolls 3 poll intervals allow for one failed poll.
package cacheindex
