// Package nodelist keeps the list of nodes that one node writes to the platform's store on
// behalf of other nodes.
//
// # Load pattern
//
// Callers are told which nodes to connect to, so each node must be listed, and a node that
// has died must soon be removed. All nodes of a fleet may start at once, be restarted one
// by one, or lose power together.
//
// # Failure without this package
//
// Each node holds a lease in the store and renews it more than once a second. The calls
// grow with the fleet, while the store's rate limit does not.
//
// # Rules
//
//   - When a node asks a reader of the store (decide/storereaders) for the reader's data
//     (fleet/reads), this request is also a heartbeat. The reader lists the node for TTL
//     after the node's last heartbeat.
//   - A node that reports that it is leaving is removed at once.
//   - A node that has just started restores the list of its previous process, as if all
//     nodes in that list had just sent a heartbeat. Otherwise, after a loss of power,
//     callers of the whole fleet would be told only a handful of nodes until the other
//     nodes have sent heartbeats.
//   - The list holds at most MaxNodes, so that a client of the API between nodes cannot
//     make the list grow without bound.
package nodelist

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// TTL is how long a node is listed after its last heartbeat.
	TTL = 3 * time.Second
	// MaxNodes is the maximum number of nodes in a list.
	MaxNodes = 1024
	// maxFieldBytes is the maximum length of a name or an address.
	maxFieldBytes = 100
)

// Node is an entry of the list.
type Node struct {
	Name string `json:"name"`
	// CallerAddress is the address at which callers reach the node.
	CallerAddress string `json:"callers"`
	// PeerAddress is the address at which other nodes reach it; empty if they can't.
	PeerAddress string `json:"peers,omitempty"`
	// LinkMbps is the outbound bandwidth of the node's VM in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link,omitempty"`
}

// Valid reports whether the node may be listed.
func (n Node) Valid() bool {
	identified := n.Name != "" && n.CallerAddress != "" && len(n.Name) <= maxFieldBytes && len(n.CallerAddress) <= maxFieldBytes && len(n.PeerAddress) <= maxFieldBytes
	return identified && n.LinkMbps >= 0 && !math.IsInf(n.LinkMbps, 0)
}

// List is the list that one node keeps of other nodes. The zero value is an empty list.
// It is not safe for concurrent use.
type List struct {
	entries map[string]entry
}

type entry struct {
	node      Node
	lastHeard time.Time
}

// Heartbeat records that a node is alive and returns whether the node is listed. An
// invalid node is not listed, and neither is a new node if the list is full.
func (l *List) Heartbeat(now time.Time, node Node) bool {
	if !node.Valid() {
		return false
	}
	if l.entries == nil {
		l.entries = map[string]entry{}
	}
	if _, known := l.entries[node.Name]; !known && len(l.entries) >= MaxNodes {
		l.expire(now)
		if len(l.entries) >= MaxNodes {
			return false
		}
	}
	l.entries[node.Name] = entry{node: node, lastHeard: now}
	return true
}

func (l *List) Remove(name string) { delete(l.entries, name) }

// Restore adds the nodes of an earlier list as if they had sent a heartbeat now. Nodes
// that are listed already do not change.
func (l *List) Restore(now time.Time, list []Node) {
	for _, node := range list {
		if _, known := l.entries[node.Name]; !known {
			l.Heartbeat(now, node)
		}
	}
}

// Nodes returns the listed nodes, sorted by name.
func (l *List) Nodes(now time.Time) []Node {
	l.expire(now)
	list := make([]Node, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e.node)
	}
	slices.SortFunc(list, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (l *List) expire(now time.Time) {
	for name, e := range l.entries {
		if now.Sub(e.lastHeard) >= TTL {
			delete(l.entries, name)
		}
	}
}
