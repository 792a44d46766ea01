// Package crashguard keeps requests whose prompts crash replicas away from the replicas. It is the
// driver of decide/poison: it finds out which requests were at a replica when its process ended,
// lets suspect requests run one at a time, refuses those that are isolated, and keeps the
// isolations in the store.
//
// A Guard belongs to a node. Each model request has a Request of the Guard, and asks it before each
// attempt at a replica. What other nodes know is exchanged by the node's own protocol, which calls
// Evidence and Merge.
package crashguard
