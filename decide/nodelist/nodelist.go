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
	// Lives is how long a node is listed after it was last heard of.
	Lives = 3 * time.Second
	// Most is how many nodes one list holds.
	Most = 1024
	// mostBytes bounds a name or an address.
	mostBytes = 100
)

// Node is one that is listed.
type Node struct {
	Name string `json:"name"`
	// Callers is where callers reach it.
	Callers string `json:"callers"`
	// Link is what its VM may send, in Mbit/s; 0 if that is not known.
	Link float64 `json:"link,omitempty"`
}

// Valid says whether a node may be listed.
func (n Node) Valid() bool {
	named := n.Name != "" && n.Callers != "" && len(n.Name) <= mostBytes && len(n.Callers) <= mostBytes
	return named && n.Link >= 0 && !math.IsInf(n.Link, 0)
}

// Roll is the list of one node. The zero value is empty. It is not safe for concurrent
// use.
type Roll struct {
	heard map[string]heard
}

type heard struct {
	node Node
	at   time.Time
}

// Tell notes that a node is there. It says whether the node is listed now: not if it may
// not be, or if the list is full.
func (r *Roll) Tell(now time.Time, node Node) bool {
	if !node.Valid() {
		return false
	}
	if r.heard == nil {
		r.heard = map[string]heard{}
	}
	if _, known := r.heard[node.Name]; !known && len(r.heard) >= Most {
		r.forget(now)
		if len(r.heard) >= Most {
			return false
		}
	}
	r.heard[node.Name] = heard{node: node, at: now}
	return true
}

// Leaves takes a node off.
func (r *Roll) Leaves(name string) { delete(r.heard, name) }

// Adopt takes over a list as if its nodes had been heard now; what was heard itself
// stays.
func (r *Roll) Adopt(now time.Time, list []Node) {
	for _, node := range list {
		if _, known := r.heard[node.Name]; !known {
			r.Tell(now, node)
		}
	}
}

// List returns the nodes that are there, by name.
func (r *Roll) List(now time.Time) []Node {
	r.forget(now)
	list := make([]Node, 0, len(r.heard))
	for _, h := range r.heard {
		list = append(list, h.node)
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (r *Roll) forget(now time.Time) {
	for name, h := range r.heard {
		if now.Sub(h.at) >= Lives {
			delete(r.heard, name)
		}
	}
}
