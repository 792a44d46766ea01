// Package cacheindex estimates which replica has which prompt prefixes cached,
// from the events that engines publish late and with gaps.
//
//	index := cacheindex.New(cacheindex.Config{})
//	index.Retain(subset)
//	page := ask(replica, index.After(replica))
//	index.Apply(now, replica, page)
//	holders := index.Holders(now, prefixes)
//	choice, ok := balancer.Pick(now, balance.Query{Prefix: hash, Holders: holders})
//
// The load pattern that it answers: a hot prefix outgrows the replica that its
// hash names, and the surplus goes to replicas by load. Several of them have it
// cached by then, but without events a node doesn't know which, and callers wait
// for a prompt to be computed that was cached next door. The same after a
// document has moved the homes of all prefixes.
//
// All of it is a hint: the balancer takes a holder only within its bound on load,
// and a wrong hint costs one prompt computed anew, after which it is right. So
// that wrong ones stay few, an engine that may have lost its cache is not trusted
// to hold it:
//   - another instance or a sequence that went back empties the replica's part:
//     the engine has restarted;
//   - of a gap of n events the n oldest entries go, all if there are no more: each
//     lost event may have said that one was evicted, and engines evict the oldest;
//   - silence takes the trust away until the engine answers again.
//
// The index is approximate and bounded: per replica Config.Entries prefixes, those
// asked for last.
//
// # Grounds for the figures
//
// DefaultEntries 256: a list element and a map entry take about 150 bytes, so 32
// replicas of a subset take about 1.2 MB. Prompts share their beginnings, and what
// is shared is asked for again and stays.
// DefaultSilence 10 s is well over an engine's lag and under the time in which one
// restarts and loads its layers; silentPolls 3 polls in turn, where these are
// further apart, allow for one that failed.
package cacheindex
