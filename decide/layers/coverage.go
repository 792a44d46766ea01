package layers

import (
	"cmp"
	"slices"
)

// coverage is the state of a failure domain while Plan computes orders. Each order changes
// the span of its replica in the coverage immediately, as if the replica held the new span
// already.
type coverage struct {
	model    Model
	replicas []Replica
	capacity []float64 // by layer, the token capacity of its holders together
	holders  []int     // by layer, the number of its holders
}

func newCoverage(model Model, replicas []Replica) *coverage {
	c := &coverage{
		model:    model,
		replicas: slices.Clone(replicas),
		capacity: make([]float64, model.Layers),
		holders:  make([]int, model.Layers),
	}
	for i := range c.replicas {
		c.replicas[i].Held = model.heldSpan(c.replicas[i])
	}
	// Replicas with much memory come first, so that replicas with little memory fill the
	// remaining gaps.
	slices.SortStableFunc(c.replicas, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	for i := range c.replicas {
		c.addContribution(&c.replicas[i], 1)
	}
	return c
}

// addContribution adds the replica to the holders of the layers that it holds and its token
// capacity to the capacity of these layers. If sign is -1,
// addContribution subtracts both.
func (c *coverage) addContribution(r *Replica, sign int) {
	if r.Excluded || r.Held.Empty() {
		return
	}
	capacity := c.model.TokenCapacity(r.MemoryMB, r.Held.Len())
	for l := r.Held.From; l < r.Held.To; l++ {
		c.capacity[l] += float64(sign) * capacity
		c.holders[l] += sign
	}
}

// countHolders returns the number of replicas that hold layers and are not excluded.
func (c *coverage) countHolders() int {
	n := 0
	for _, r := range c.replicas {
		if !r.Excluded && !r.Held.Empty() {
			n++
		}
	}
	return n
}

// gaps returns the spans of layers that have no holder.
func (c *coverage) gaps() []Span {
	var gaps []Span
	for l := 0; l < c.model.Layers; l++ {
		if c.holders[l] > 0 {
			continue
		}
		if n := len(gaps); n > 0 && gaps[n-1].To == l {
			gaps[n-1].To++
			continue
		}
		gaps = append(gaps, Span{l, l + 1})
	}
	return gaps
}

// assign changes the span of a replica and returns the order to hold the new span.
func (c *coverage) assign(r *Replica, span Span, reason string) Order {
	c.addContribution(r, -1)
	r.Held = span
	c.addContribution(r, 1)
	return Order{ID: r.ID, Hold: span, Reason: reason}
}
