package endpointrate

import (
	"cmp"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Node is a node that may send to replicas.
type Node struct{ Name, Domain string }

// senders returns the names of the nodes that may send to a limited replica.
func senders(replica, domain string, requestsPerSecond float64, nodes []Node) []string {
	count := min(len(nodes), 1+int(min(requestsPerSecond, maxSenders)))
	names := make([]string, 0, count)
	for _, c := range firstCandidates(replica, domain, count, nodes) {
		names = append(names, c.name)
	}
	return names
}

// maxSenders bounds the number of senders, so that an absurd limit costs no memory.
const maxSenders = 1 << 16

// candidate is a node with its score as a sender to one replica.
type candidate struct {
	name  string
	local bool // in the replica's failure domain
	score uint64
}

// compareCandidates sorts the nodes that send first to the front.
func compareCandidates(a, b candidate) int {
	switch {
	case a.local && !b.local:
		return -1
	case !a.local && b.local:
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// firstCandidates returns the first candidates among the nodes, count of them. It keeps only
// those while it goes through the nodes, because count is small in a large fleet.
func firstCandidates(replica, domain string, count int, nodes []Node) []candidate {
	key := rendezvous.Hash(replica)
	first := make([]candidate, 0, count+1)
	for _, n := range nodes {
		c := candidate{name: n.Name, local: n.Domain == domain, score: rendezvous.Score(key, rendezvous.Hash(n.Name))}
		at, _ := slices.BinarySearchFunc(first, c, compareCandidates)
		if at < count {
			first = slices.Insert(first, at, c)
			first = first[:min(len(first), count)]
		}
	}
	return first
}
