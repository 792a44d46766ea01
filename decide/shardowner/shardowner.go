package shardowner

import (
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Shard returns the name of a shard. Pick takes names.
func Shard(shard int) string { return "shard-" + strconv.Itoa(shard) }

// Pauses for which a node that did not answer is left out; they double.
const (
	MinPause = time.Second
	MaxPause = 16 * time.Second
)

// Nodes picks among the nodes that are live by one node's view. It is not safe
// for concurrent use.
type Nodes struct {
	live   []node
	silent map[string]silence
}

type node struct {
	name string
	hash uint64
}

// silence is that of a node that did not answer; it is left out until a time.
type silence struct {
	until time.Time
	pause time.Duration
	// trial says that the node was given out once since it is silent.
	trial bool
}

// New returns a choice without nodes.
func New() *Nodes { return &Nodes{silent: map[string]silence{}} }

// SetLive replaces the live nodes. What is known of silent ones is kept for
// those that stay.
func (n *Nodes) SetLive(names []string) {
	n.live = n.live[:0]
	kept := map[string]silence{}
	for _, name := range names {
		n.live = append(n.live, node{name, rendezvous.Hash(name)})
		if s, known := n.silent[name]; known {
			kept[name] = s
		}
	}
	n.silent = kept
}

// Pick returns the node for a shard; empty if there is none. A silent node
// whose pause is over is given out once and then left out for another pause,
// unless Answered says that it is back.
func (n *Nodes) Pick(now time.Time, shard string) string {
	key := rendezvous.Hash(shard)
	best, bestScore := "", uint64(0)
	for _, each := range n.live {
		score := rendezvous.Score(key, each.hash)
		if (best == "" || score > bestScore) && !now.Before(n.silent[each.name].until) {
			best, bestScore = each.name, score
		}
	}
	if s, known := n.silent[best]; known {
		s.until = now.Add(s.pause)
		s.trial = true
		n.silent[best] = s
	}
	return best
}

// Owned returns how many of a number of shards a node ranks first for,
// silent ones not left out: what a node may do must not change with each of them.
func (n *Nodes) Owned(name string, shards int) int {
	owned := 0
	for shard := range shards {
		key := rendezvous.Hash(Shard(shard))
		best, bestScore := "", uint64(0)
		for _, each := range n.live {
			if score := rendezvous.Score(key, each.hash); best == "" || score > bestScore {
				best, bestScore = each.name, score
			}
		}
		if best == name {
			owned++
		}
	}
	return owned
}

// Failed says that a node did not answer. It returns for how long the node is
// left out, and zero if it is left out already: many operations that waited for
// it fail together and count as one failure.
func (n *Nodes) Failed(now time.Time, name string) time.Duration {
	s, known := n.silent[name]
	if known && now.Before(s.until) && !s.trial {
		return 0
	}
	pause := min(max(2*s.pause, MinPause), MaxPause)
	n.silent[name] = silence{until: now.Add(pause), pause: pause}
	return pause
}

// Answered says that a node answered. It returns whether it was silent before.
func (n *Nodes) Answered(name string) bool {
	_, silent := n.silent[name]
	delete(n.silent, name)
	return silent
}
