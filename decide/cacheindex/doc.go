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
// The hash of a prefix selects one replica, but a popular prefix needs more
// capacity than this replica has. The balancer sends the requests beyond that
// capacity to less loaded replicas.
//
// # Failure without this package
//
// After a while several replicas have the popular prefix cached, but a node
// does not know which ones. Callers wait while a replica computes a prompt that
// another replica has cached. Callers also wait after a change of a
// configuration document that makes prefixes hash to other replicas.
//
// # Terms
//
// An engine publishes an event for each prefix that it stores in or evicts from
// its cache, and numbers these events. A node polls a replica: it requests the
// replica's events at intervals. A page is the replica's answer to one such
// request. An instance is one run of an engine's process. A prompt is divided
// into blocks. The prefixes of a prompt are the first block, the first two
// blocks and so on. Each prefix is identified by its hash. A holder is a replica
// that probably has at least the first block of a prompt cached.
//
// # Wrong and stale entries
//
// The index is only a hint. The balancer prefers a holder only if the holder's
// load is within the balancer's bound on load. A wrong hint costs one computation of a
// prompt, after which the replica does have the prompt cached. To keep wrong
// hints rare, entries that the engine may have evicted are dropped:
//   - A new instance, or a sequence number lower than before, clears the replica's
//     entries: the engine has restarted.
//   - A gap of n events drops the n oldest entries, or all if there are fewer. Each
//     lost event may have been an eviction, and engines evict the oldest entries.
//   - A replica that does not answer requests for events for some time has
//     stale entries: it is no holder until it answers again.
//
// The index is approximate and bounded: it keeps the Config.Entries most recently
// used prefixes of each replica.
//
// # Reasons for the values
//
// DefaultEntries 256: a list element and a map entry take about 150 bytes, so
// the 32 replicas among which a node chooses (its subset) take about 1.2 MB.
// Prompts share prefixes, and shared prefixes are requested again and stay in
// the index.
//
// DefaultStaleAfter 10 s is well above the delay with which an engine publishes
// its events, and less than the time in which an engine restarts and loads its
// layers. For longer poll intervals, the entries of a replica become stale after
// staleAfterPolls 3 poll intervals instead, which allows for one failed poll.
package cacheindex
