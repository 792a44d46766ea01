package shardowner

import (
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// ShardName returns the name of a shard. Pick takes names.
func ShardName(shard int) string { return "shard-" + strconv.Itoa(shard) }

// Pauses for which a node that did not answer is left out; they double.
const (
	MinBackoff = time.Second
	MaxBackoff = 16 * time.Second
)

// Picker picks among the nodes that are live by one node's view. It is not safe
// for concurrent use.
type Picker struct {
	live     []node
	backoffs map[string]backoff
}

type node struct {
	name string
	hash uint64
}

// backoff is that of a node that did not answer; it is left out until a time.
type backoff struct {
	until    time.Time
	duration time.Duration
	// retried says that the node was given out once since it is silent.
	retried bool
}

// New returns a choice without nodes.
func New() *Picker { return &Picker{backoffs: map[string]backoff{}} }

// SetLive replaces the live nodes. What is known of silent ones is kept for
// those that stay.
func (n *Picker) SetLive(names []string) {
	n.live = n.live[:0]
	kept := map[string]backoff{}
	for _, name := range names {
		n.live = append(n.live, node{name, rendezvous.Hash(name)})
		if s, known := n.backoffs[name]; known {
			kept[name] = s
		}
	}
	n.backoffs = kept
}

// Pick returns the node for a shard; empty if there is none. A silent node
// whose pause is over is given out once and then left out for another pause,
// unless Answered says that it is back.
func (n *Picker) Pick(now time.Time, shard string) string {
	key := rendezvous.Hash(shard)
	best, bestScore := "", uint64(0)
	for _, each := range n.live {
		score := rendezvous.Score(key, each.hash)
		if (best == "" || score > bestScore) && !now.Before(n.backoffs[each.name].until) {
			best, bestScore = each.name, score
		}
	}
	if s, known := n.backoffs[best]; known {
		s.until = now.Add(s.duration)
		s.retried = true
		n.backoffs[best] = s
	}
	return best
}

// OwnedShards returns how many of a number of shards a node ranks first for,
// silent ones not left out: what a node may do must not change with each of them.
func (n *Picker) OwnedShards(name string, shards int) int {
	owned := 0
	for shard := range shards {
		key := rendezvous.Hash(ShardName(shard))
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

// RecordFailure says that a node did not answer. It returns for how long the node is
// left out, and zero if it is left out already: many operations that waited for
// it fail together and count as one failure.
func (n *Picker) RecordFailure(now time.Time, name string) time.Duration {
	s, known := n.backoffs[name]
	if known && now.Before(s.until) && !s.retried {
		return 0
	}
	duration := min(max(2*s.duration, MinBackoff), MaxBackoff)
	n.backoffs[name] = backoff{until: now.Add(duration), duration: duration}
	return duration
}

// RecordAnswer says that a node answered. It returns whether it was silent before.
func (n *Picker) RecordAnswer(name string) bool {
	_, known := n.backoffs[name]
	delete(n.backoffs, name)
	return known
}
