// Package docsync decides how the record of an environment's document reaches
// every node: who watches the store, who pushes to whom, what repairs a miss.
//
//	m := docsync.New(docsync.Config{Self: "vm-1", FailureDomain: "bandung", Environment: "stock"})
//	m.Step(docsync.Members{Nodes: nodes})
//	batch := m.Step(docsync.Learned{Record: record, Source: docsync.FromStore})
//	// batch.Accepted is in force from now on; offer it to batch.Push
//
// The machine does no I/O and reads no clock.
//
// Failure answered: a store that counts every waiting watch and has outages, a
// watch holder that dies, a peer that is slow or lags, a restarted node that
// knows nothing. Without this package either every node watches and the store
// is eaten up, or a change stops at the nodes that happened to see it, or a
// restarted node takes the first record it meets and reverts the environment.
//
// What must hold needs no agreement: a node takes higher revisions only, and
// revisions are given out by compare-and-swap at the store.
//
// Load pattern: a few watches per failure domain at any size; each node is
// offered a change once, from its parent in a tree over its failure domain,
// and the digest on the regular exchange repairs what the tree missed.
package docsync
