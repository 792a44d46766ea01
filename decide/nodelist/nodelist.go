// Package nodelist keeps the list of nodes that one node enters in the platform's store for
// others.
//
// # Load pattern
//
// Callers are told which nodes to connect to, so each node must be listed, and one that
// has died must soon not be. Fleets start all at once, are restarted one by one, and
// lose power together.
//
// # Without it
//
// Each node holds a lease in the store and renews it more than once a second: calls that
// grow with the fleet, while the store's rate does not.
//
// # Rules
//
//   - A node tells another one that it is there whenever it asks that one what it has
//     read (fleet/reads); it counts as there for Lives after it was last heard.
//   - One that says that it leaves is taken off at once.
//   - A node that has just started goes on with what its last process had listed, as if
//     all of them had been heard at its start. Without that a fleet that lost power would
//     name a handful of nodes to all callers until the others have called.
//   - The list is bounded by Most: a caller of the nodes' door can't make it grow.
package nodelist

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// TTL is how long a node is listed after it was last heard of.
	TTL = 3 * time.Second
	// MaxNodes is how many nodes one list holds.
	MaxNodes = 1024
	// maxFieldBytes bounds a name or an address.
	maxFieldBytes = 100
)

// Node is one that is listed.
type Node struct {
	Name string `json:"name"`
	// CallerAddress is where callers reach it.
	CallerAddress string `json:"callers"`
	// LinkMbps is what its VM may send, in Mbit/s; 0 if that is not known.
	LinkMbps float64 `json:"link,omitempty"`
}

// Valid says whether a node may be listed.
func (n Node) Valid() bool {
	identified := n.Name != "" && n.CallerAddress != "" && len(n.Name) <= maxFieldBytes && len(n.CallerAddress) <= maxFieldBytes
	return identified && n.LinkMbps >= 0 && !math.IsInf(n.LinkMbps, 0)
}

// List is the list of one node. The zero value is empty. It is not safe for concurrent
// use.
type List struct {
	entries map[string]entry
}

type entry struct {
	node      Node
	lastHeard time.Time
}

// Heartbeat notes that a node is there. It says whether the node is listed now: not if it may
// not be, or if the list is full.
func (r *List) Heartbeat(now time.Time, node Node) bool {
	if !node.Valid() {
		return false
	}
	if r.entries == nil {
		r.entries = map[string]entry{}
	}
	if _, known := r.entries[node.Name]; !known && len(r.entries) >= MaxNodes {
		r.expire(now)
		if len(r.entries) >= MaxNodes {
			return false
		}
	}
	r.entries[node.Name] = entry{node: node, lastHeard: now}
	return true
}

// Remove takes a node off.
func (r *List) Remove(name string) { delete(r.entries, name) }

// Restore takes over a list as if its nodes had been heard now; what was heard itself
// stays.
func (r *List) Restore(now time.Time, list []Node) {
	for _, node := range list {
		if _, known := r.entries[node.Name]; !known {
			r.Heartbeat(now, node)
		}
	}
}

// Nodes returns the nodes that are there, by name.
func (r *List) Nodes(now time.Time) []Node {
	r.expire(now)
	list := make([]Node, 0, len(r.entries))
	for _, h := range r.entries {
		list = append(list, h.node)
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (r *List) expire(now time.Time) {
	for name, h := range r.entries {
		if now.Sub(h.lastHeard) >= TTL {
			delete(r.entries, name)
		}
	}
}
