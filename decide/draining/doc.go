// Package draining decides which requests a node still accepts after it was told to stop.
//
// # Load pattern
//
// A node is stopped for planned work, and its process is killed after a grace period. Callers keep
// the node's address for some seconds and go on sending requests to it. Routes differ in their
// timeouts, and an operator may change these at any time.
//
// # Failure without this package
//
// The node accepts a request that lasts longer than its process. It has passed the request on to a
// replica when the process ends, and the caller's connection is closed without an answer. The caller
// of an order doesn't know then whether the order was placed.
//
// # Rule
//
// A request is accepted if its deadline comes before the node's end: whatever the replica does, the
// node answers in time. Requests that may run again and may last longer are accepted for the first
// part of the period, a few seconds at most. Nearly all of them end long before their deadline, and a caller whose answer
// is cut can have the rest of it from another node. An order has no such remedy.
//
// An order that was accepted and has waited since, for the rest of its body or for capacity, is sent on
// by the same rule.
//
// What is not accepted or sent on is refused at once as not run, so that the caller can use another node.
package draining
