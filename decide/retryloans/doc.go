// Package retryloans decides which retries nodes lend to each other, so that a node that has
// spent its part of the retries which all nodes may make can use what others leave unused.
//
// # Load pattern
//
// Replicas fail or refuse, and the requests that this breaks are spread unevenly over the
// nodes: a node whose streams ran through a lost replica needs many retries at once, another
// needs none. Each node may make only a few retries in a window of some seconds.
//
// # Failure without this package
//
// Each node has an even part of the retries. Nodes that have spent theirs refuse callers
// while all nodes together have used only half of what they may.
//
// # Rules
//
//   - A node that has spent its retries, or will have before the next exchange, asks its hub
//     for as many as it lacks (Want). The hub grants them from its pool and from its own
//     surplus, to several askers in proportion to what they want.
//   - A hub that lacks retries invites the nodes that talk to it to deposit some, and asks
//     the other hubs. A node deposits of what it does not expect to need (Surplus).
//     Without demand nothing is sent and nothing is withdrawn.
//   - The giving node subtracts before it sends. A lost message loses retries and never adds any.
//   - A borrower does not lend what it has borrowed.
//
// # Bound
//
// In any period of one retry.Config.Window, all nodes together make no more retries than the
// sum of their bursts, plus retry.Config.RetryRatio for each success in the period and up to
// one window and one Lifetime before it. Messages may be lost, repeated or late, and any node
// may stop, die or start anew. It rests on this:
//
//   - A withdrawal counts as spent at the node that lends until one Window after its Lifetime
//     has ended. Within any period of one Window it is therefore used either by a borrower or
//     again by its owner, never both.
//   - No copy of a withdrawal is usable after its Lifetime. Clocks of different nodes are
//     never compared. A deposit names the hub's invitation by a token, and its Lifetime counts
//     from the time at which the hub issued the token, before the withdrawal. A grant ends
//     UseTime after its borrower asked, before the hub granted it; a hub grants only what it
//     may hold for that long, HoldTime if the borrower is a hub.
//   - Each message counts once. A token is good for one message, and a reply for one ask.
//   - What is lent is in memory only. A node that starts anew has no pool, no borrowed
//     retries and no invitations, and counts its own as spent (retry.Config.InitialRetries).
//
// A node whose clock stands still while its machine is suspended could use what it has
// borrowed late; this is bounded by what it held.
//
// # Use
//
// Keep one Ledger for each node. For each exchange with a hub:
//
//	message, ask := l.Ask(now, hub, iAmHub)           // sent by the node that asks
//	reply := l.Reply(now, node, nodeIsHub, message)   // on the hub
//	l.Receive(now, ask, reply)                        // when the reply has come
//
// A Ledger is not safe for concurrent use; the caller locks.
package retryloans
