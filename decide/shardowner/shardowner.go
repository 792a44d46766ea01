package shardowner

import (
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// ShardName returns the name by which Pick identifies a shard.
func ShardName(shard int) string { return "shard-" + strconv.Itoa(shard) }

// MinBackoff and MaxBackoff bound the backoff of a node, which doubles with each
// consecutive failure.
const (
	MinBackoff = time.Second
	MaxBackoff = 16 * time.Second
)

// Picker picks owners among the nodes that one node considers live. It is not safe for
// concurrent use.
type Picker struct {
	live     []node
	backoffs map[string]backoff
}

type node struct {
	name string
	hash uint64
}

// backoff is the period in which a node that did not answer is not picked.
type backoff struct {
	until    time.Time
	duration time.Duration
	// retried is set once the node has been picked again since its last failure.
	retried bool
}

// New returns a Picker without nodes.
func New() *Picker { return &Picker{backoffs: map[string]backoff{}} }

// SetLive replaces the list of live nodes. Nodes that stay in the list keep their
// backoff.
func (p *Picker) SetLive(names []string) {
	p.live = p.live[:0]
	kept := map[string]backoff{}
	for _, name := range names {
		p.live = append(p.live, node{name, rendezvous.Hash(name)})
		if b, known := p.backoffs[name]; known {
			kept[name] = b
		}
	}
	p.backoffs = kept
}

// Pick returns the node that should write a shard, or an empty string if there is none. A
// node whose backoff has ended is picked once and then excluded for another period,
// unless RecordAnswer is called for it.
func (p *Picker) Pick(now time.Time, shard string) string {
	key := rendezvous.Hash(shard)
	best, bestScore := "", uint64(0)
	for _, candidate := range p.live {
		score := rendezvous.Score(key, candidate.hash)
		if (best == "" || score > bestScore) && !now.Before(p.backoffs[candidate.name].until) {
			best, bestScore = candidate.name, score
		}
	}
	if b, known := p.backoffs[best]; known {
		b.until = now.Add(b.duration)
		b.retried = true
		p.backoffs[best] = b
	}
	return best
}

// OwnedShards returns for how many of the shards the named node has the highest score.
// OwnedShards ignores backoffs. Otherwise the node's share of the store's calls, which
// depends on this number, would change with each backoff.
func (p *Picker) OwnedShards(name string, shards int) int {
	owned := 0
	for shard := range shards {
		key := rendezvous.Hash(ShardName(shard))
		best, bestScore := "", uint64(0)
		for _, candidate := range p.live {
			if score := rendezvous.Score(key, candidate.hash); best == "" || score > bestScore {
				best, bestScore = candidate.name, score
			}
		}
		if best == name {
			owned++
		}
	}
	return owned
}

// RecordFailure records that a node did not answer. RecordFailure returns for how long
// the node is excluded, or zero if the node is excluded already: operations that waited
// for the node at the same time fail together and count as one failure.
func (p *Picker) RecordFailure(now time.Time, name string) time.Duration {
	b, known := p.backoffs[name]
	if known && now.Before(b.until) && !b.retried {
		return 0
	}
	duration := min(max(2*b.duration, MinBackoff), MaxBackoff)
	p.backoffs[name] = backoff{until: now.Add(duration), duration: duration}
	return duration
}

// RecordAnswer records that a node answered. RecordAnswer returns whether the node was in
// backoff.
func (p *Picker) RecordAnswer(name string) bool {
	_, known := p.backoffs[name]
	delete(p.backoffs, name)
	return known
}
