// Package probebudget decides whether a node may probe a replica, ask it for a report, or send a
// reroute command because of a silent stream.
//
// # Load pattern
//
// Callers request more than the replicas can serve. Prompts wait at the replicas for a second or
// more, and streams pause between events, because the replicas prefill long prompts. All nodes
// have dozens of silent streams, each through several replicas, and some replicas are lost at
// the same time.
//
// # Failure without this package
//
// Each silent stream checks all stages of its path again and again. With 91 nodes that sent 2.4
// requests a second each, a request caused 6.4 connections and 2.6 health checks. Every node asks
// replicas that only wait for prefill whether they are alive.
//
// # Rules
//
//   - A contact shows that a replica is alive: an event of a stream through it, an accepted
//     connection, or a report that another node has reached it. A replica is not probed within
//     MinInterval after the last contact or probe, unless it is newly in doubt.
//   - A replica is newly in doubt if a stream that has begun is silent, and the last contact and
//     the last probe came before its last event, or if the last probe failed. A stream without an
//     event puts no replica newly in doubt: its prompt probably waits.
//   - A reroute command for a stream that has begun and lost a stage goes before one for a stream
//     without an event, and both before one for a stage that is draining (Priority).
//   - Actions are paid from a budget that grows with the requests that the node sends, with
//     the streams that run, or a little with time. Part of it is reserved for urgent actions.
//
// # Use
//
// Keep one Budget for each service and kind of action. Call Earn for each request that is sent,
// and Take before an action. A Budget is not safe for concurrent use; the caller locks.
package probebudget
