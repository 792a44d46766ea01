package placement

import (
	"errors"
	"math"
)

// ErrNoFit reports that the chain's memory does not hold the model.
var ErrNoFit = errors.New("placement: the chain's memory does not hold the model")

// Model is what has to be placed.
type Model struct {
	// Layers is how many layers the model has.
	Layers int
	// LayerBytes is the memory of one layer with its share of KV cache.
	LayerBytes int64
}

// Accelerator is one engine of a chain.
type Accelerator struct {
	// Endpoint is the engine's name.
	Endpoint string
	// LayerMicros is the time of one layer for one token, in microseconds.
	LayerMicros float64
	// MemoryBytes is what the engine has for layers.
	MemoryBytes int64
}

// Chain is engines in the order in which a token may cross them, not all of
// which need be used.
type Chain struct {
	Accelerators []Accelerator
	// LinkMicros[i][j], i < j, is the time from accelerator i to j.
	LinkMicros [][]float64
}

// Stage is an engine and the layers that it is to hold, both inclusive.
type Stage struct {
	Endpoint    string
	First, Last int
}

// Cut is a model cut over a chain. A hop is a stage's layers and its outgoing
// link; a stage takes its next token only when the hop is over.
type Cut struct {
	Stages []Stage
	// Bottleneck is the longest hop, Total the sum of all, in microseconds.
	Bottleneck, Total float64
}

// Best returns the cut with the least bottleneck, and of these the one with
// the least total. Its time grows with the square of the engines and of the
// layers.
func Best(model Model, chain Chain) (Cut, error) {
	least := newSearch(model, chain, math.Inf(1), math.Max)
	if math.IsInf(least.value, 1) {
		return Cut{}, ErrNoFit
	}
	// A prefix with the least bottleneck need not have the least total, so
	// the total is sought in a second pass under the bottleneck found.
	total := newSearch(model, chain, least.value, func(a, b float64) float64 { return a + b })
	return Cut{Stages: total.stages(), Bottleneck: least.value, Total: total.value}, nil
}

// start is the state of the search: accelerator at is used and begins at layer
// from.
type start struct{ at, from int }

// choice is the best way to a start: from the start before it, with the layers
// that the accelerator there takes.
type choice struct {
	value  float64
	before start
}

// search is a dynamic programme over starts. limit bounds each hop; combine
// folds the hops into the value that is minimised.
type search struct {
	model   Model
	chain   Chain
	limit   float64
	combine func(a, b float64) float64
	best    [][]choice
	last    start // the start of the last stage
	value   float64
}

func newSearch(model Model, chain Chain, limit float64, combine func(a, b float64) float64) *search {
	s := &search{model: model, chain: chain, limit: limit, combine: combine, value: math.Inf(1)}
	s.best = make([][]choice, len(chain.Accelerators))
	for at := range s.best {
		s.best[at] = make([]choice, model.Layers)
		for from := range s.best[at] {
			s.best[at][from] = choice{value: math.Inf(1)}
		}
		if model.Layers > 0 {
			s.best[at][0] = choice{before: start{at: -1}}
		}
	}
	for at := range s.best {
		for from := range s.best[at] {
			s.extend(start{at, from})
		}
	}
	return s
}

// extend tries every number of layers on the accelerator of a start, and every
// accelerator behind it.
func (s *search) extend(from start) {
	reached := s.best[from.at][from.from].value
	if math.IsInf(reached, 1) {
		return
	}
	accelerator := s.chain.Accelerators[from.at]
	for layers := 1; layers <= s.room(from); layers++ {
		compute := float64(layers) * accelerator.LayerMicros
		end := from.from + layers
		if end == s.model.Layers {
			s.finish(from, reached, compute)
			return
		}
		for next := from.at + 1; next < len(s.best); next++ {
			hop := compute + s.chain.LinkMicros[from.at][next]
			s.reach(start{next, end}, from, reached, hop)
		}
	}
}

// room is how many layers the accelerator of a start can take.
func (s *search) room(from start) int {
	left := s.model.Layers - from.from
	if s.model.LayerBytes <= 0 {
		return left
	}
	fits := s.chain.Accelerators[from.at].MemoryBytes / s.model.LayerBytes
	return int(min(int64(left), max(fits, 0)))
}

func (s *search) reach(to, from start, reached, hop float64) {
	if hop > s.limit {
		return
	}
	if value := s.combine(reached, hop); value < s.best[to.at][to.from].value {
		s.best[to.at][to.from] = choice{value: value, before: from}
	}
}

func (s *search) finish(from start, reached, hop float64) {
	if hop > s.limit {
		return
	}
	if value := s.combine(reached, hop); value < s.value {
		s.value = value
		s.last = from
	}
}

// stages walks the best choices back from the last stage.
func (s *search) stages() []Stage {
	var reversed []Stage
	end := s.model.Layers
	for at := s.last; at.at >= 0; at = s.best[at.at][at.from].before {
		endpoint := s.chain.Accelerators[at.at].Endpoint
		reversed = append(reversed, Stage{Endpoint: endpoint, First: at.from, Last: end - 1})
		end = at.from
	}
	stages := make([]Stage, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		stages = append(stages, reversed[i])
	}
	return stages
}

// Measured returns what a cut costs on a chain, and false if the chain no
// longer has an engine of it.
func Measured(cut Cut, chain Chain) (Cut, bool) {
	measured := Cut{Stages: cut.Stages}
	for i, stage := range cut.Stages {
		at := chain.index(stage.Endpoint)
		if at < 0 {
			return Cut{}, false
		}
		hop := float64(stage.Last-stage.First+1) * chain.Accelerators[at].LayerMicros
		if i+1 < len(cut.Stages) {
			next := chain.index(cut.Stages[i+1].Endpoint)
			if next <= at {
				return Cut{}, false
			}
			hop += chain.LinkMicros[at][next]
		}
		measured.Bottleneck = max(measured.Bottleneck, hop)
		measured.Total += hop
	}
	return measured, len(cut.Stages) > 0
}

func (c Chain) index(endpoint string) int {
	for i := range c.Accelerators {
		if c.Accelerators[i].Endpoint == endpoint {
			return i
		}
	}
	return -1
}
