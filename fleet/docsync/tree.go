package docsync

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

const (
	// holders of a watch per failure domain: the second covers the seconds
	// until the first's death is noticed.
	holders = 2
	// fanout of the push tree: 96 nodes, the mean of 2,200 over 23 failure
	// domains, are reached in four steps, and a node with children sends a
	// change four times.
	fanout = 4
	// treeRevisions is how many revisions share one tree. Within them a change
	// finds the connections of the last one open; after them the work of
	// pushing falls on other nodes.
	treeRevisions = 64
)

// score is the rendezvous weight of a name under a key.
func score(name string, key uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h.Write(b[:])
	return mix(h.Sum64())
}

// mix spreads the last bytes of an FNV sum over all bits, which FNV does not.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// rank orders names by their score under a key, highest first.
func rank(names []string, key uint64) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		left, right := score(a, key), score(b, key)
		if left != right {
			if left > right {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}

// treeKey is the same for all revisions of one tree.
func treeKey(revision int64) uint64 { return uint64(revision / treeRevisions) }

// children of a name in the tree of a revision.
func children(names []string, revision int64, of string) []string {
	order := rank(names, treeKey(revision))
	at := slices.Index(order, of)
	if at < 0 {
		return nil
	}
	first := at*fanout + 1
	last := min(first+fanout, len(order))
	if first >= last {
		return nil
	}
	return order[first:last]
}

// root of the tree of a revision.
func root(names []string, revision int64) string {
	order := rank(names, treeKey(revision))
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
