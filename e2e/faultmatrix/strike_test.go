package faultmatrix

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plan is what a cell is made of: each fault strikes at the step of its place.
type plan struct {
	steps  []step
	faults []fault
}

func (p plan) stepName() string {
	var names []string
	for _, s := range p.steps {
		names = append(names, s.name)
	}
	return strings.Join(names, ", then ")
}

func (p plan) faultName() string {
	var names []string
	for _, f := range p.faults {
		names = append(names, f.name)
	}
	return strings.Join(names, ", then ")
}

func (p plan) key(path string) cellKey { return cellKey{path, p.stepName(), p.faultName()} }

// single are the path's cells of one fault.
func (p path) single() []plan {
	var all []plan
	for _, s := range p.steps {
		for _, f := range p.faults {
			all = append(all, plan{[]step{s}, []fault{f}})
		}
	}
	return all
}

// strike is a fault that waits for its step.
type strike struct {
	fault fault
	begun atomic.Bool
	done  chan struct{}
}

// arm sets the traps that see the plan's steps.
func (c *cell) arm(planned plan) {
	c.plan = planned
	for _, f := range planned.faults {
		c.strikes = append(c.strikes, &strike{fault: f, done: make(chan struct{})})
	}
	for i, s := range planned.steps {
		k := c.strikes[i]
		var first sync.Once
		s.arm(c, func() {
			first.Do(func() {
				k.begun.Store(true)
				k.fault.do(c)
				close(k.done)
			})
		})
	}
}

// ended waits for a fault that has begun.
func (c *cell) ended(k *strike) {
	select {
	case <-k.done:
	case <-time.After(springTimeout):
		c.t.Errorf("%s: the step was not reached, or the fault does not end", k.fault.name)
	}
}

// sprang fails the cell if its first step was never seen: the fault did not
// happen. The caller may hear of a fault before the fault is done, so it waits.
// A second step may never come, as the first fault ended the operation.
func (c *cell) sprang() {
	c.ended(c.strikes[0])
	c.settle()
}

// settle waits for the faults that have begun.
func (c *cell) settle() {
	for _, k := range c.strikes {
		if k.begun.Load() {
			c.ended(k)
		}
	}
}

// struckBy says whether a fault whose name has this part has struck.
func (c *cell) struckBy(part string) bool {
	c.settle()
	return c.struckBefore(part)
}

// struckBefore is struckBy for use by a fault: it does not wait for the end of
// faults, of which this one is one.
func (c *cell) struckBefore(part string) bool {
	return slices.ContainsFunc(c.strikes, func(k *strike) bool {
		return k.begun.Load() && strings.Contains(k.fault.name, part)
	})
}

func (c *cell) allStruck() bool {
	return !slices.ContainsFunc(c.strikes, func(k *strike) bool { return !k.begun.Load() })
}

func (c *cell) wasKilled(node int) bool {
	c.settle()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[node]
}

func (c *cell) wasDrained(node int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drained[node]
}
