package placement

import (
	"errors"
	"math"
)

// ErrNoFit means that the model doesn't fit in the memory of the chain.
var ErrNoFit = errors.New("placement: the chain's memory does not hold the model")

// Model describes the model to place.
type Model struct {
	// Layers is the number of layers.
	Layers int
	// LayerBytes is the memory of one layer with its share of the KV cache.
	LayerBytes int64
}

// Accelerator is one engine of a chain.
type Accelerator struct {
	// Endpoint is the engine's name.
	Endpoint string
	// LayerMicros is the time of one token in one layer, in microseconds.
	LayerMicros float64
	// MemoryBytes is the memory for layers.
	MemoryBytes int64
}

// Chain lists engines in the order in which a token may pass through them. A
// partition may leave out some of them.
type Chain struct {
	Accelerators []Accelerator
	// LinkMicros[i][j], for i < j, is the transfer time from accelerator i to j, in
	// microseconds.
	LinkMicros [][]float64
}

// Stage is an engine with the first and last layer that it is to hold, both inclusive.
type Stage struct {
	Endpoint    string
	First, Last int
}

// Partition assigns the layers of a model to engines of a chain. A hop is the time of a
// stage's layers and of its outgoing link; a stage starts its next token only when the
// hop is over.
type Partition struct {
	Stages []Stage
	// Bottleneck is the longest hop and Total the sum of all hops, in microseconds.
	Bottleneck, Total float64
}

// BestPartition returns the partition with the least bottleneck, and of these the one
// with the least total. Its running time grows with the square of the number of engines
// and of the number of layers.
func BestPartition(model Model, chain Chain) (Partition, error) {
	minBottleneck := newSearch(model, chain, math.Inf(1), math.Max)
	if math.IsInf(minBottleneck.value, 1) {
		return Partition{}, ErrNoFit
	}
	// A prefix with the least bottleneck need not have the least total, so a second
	// pass minimises the total under the bottleneck found by the first.
	minTotal := newSearch(model, chain, minBottleneck.value, func(a, b float64) float64 { return a + b })
	return Partition{Stages: minTotal.stages(), Bottleneck: minBottleneck.value, Total: minTotal.value}, nil
}

// searchState is a state of the search: a stage that runs on an accelerator and begins at
// a layer.
type searchState struct{ accelerator, layer int }

// transition is the best transition into a state: the state before it and the value of
// all hops so far.
type transition struct {
	value    float64
	previous searchState
}

// search is a dynamic programme over states. maxHop bounds each hop; combine folds the
// hops into the value that is minimised.
type search struct {
	model     Model
	chain     Chain
	maxHop    float64
	combine   func(a, b float64) float64
	best      [][]transition
	lastState searchState // of the last stage
	value     float64
}

func newSearch(model Model, chain Chain, maxHop float64, combine func(a, b float64) float64) *search {
	s := &search{model: model, chain: chain, maxHop: maxHop, combine: combine, value: math.Inf(1)}
	s.best = make([][]transition, len(chain.Accelerators))
	for accelerator := range s.best {
		s.best[accelerator] = make([]transition, model.Layers)
		for layer := range s.best[accelerator] {
			s.best[accelerator][layer] = transition{value: math.Inf(1)}
		}
		if model.Layers > 0 {
			s.best[accelerator][0] = transition{previous: searchState{accelerator: -1}}
		}
	}
	for accelerator := range s.best {
		for layer := range s.best[accelerator] {
			s.extend(searchState{accelerator, layer})
		}
	}
	return s
}

// extend tries every number of layers on the accelerator of a state, and every later
// accelerator for the next stage.
func (s *search) extend(state searchState) {
	value := s.best[state.accelerator][state.layer].value
	if math.IsInf(value, 1) {
		return
	}
	accelerator := s.chain.Accelerators[state.accelerator]
	for layers := 1; layers <= s.maxLayers(state); layers++ {
		compute := float64(layers) * accelerator.LayerMicros
		end := state.layer + layers
		if end == s.model.Layers {
			s.finish(state, value, compute)
			return
		}
		for to := state.accelerator + 1; to < len(s.best); to++ {
			hop := compute + s.chain.LinkMicros[state.accelerator][to]
			s.relax(searchState{to, end}, state, value, hop)
		}
	}
}

// maxLayers returns the number of layers that fit on the accelerator of a state.
func (s *search) maxLayers(from searchState) int {
	remaining := s.model.Layers - from.layer
	if s.model.LayerBytes <= 0 {
		return remaining
	}
	fits := s.chain.Accelerators[from.accelerator].MemoryBytes / s.model.LayerBytes
	return int(min(int64(remaining), max(fits, 0)))
}

// relax records a transition if it improves the value of its target state.
func (s *search) relax(to, from searchState, before, hop float64) {
	if hop > s.maxHop {
		return
	}
	if after := s.combine(before, hop); after < s.best[to.accelerator][to.layer].value {
		s.best[to.accelerator][to.layer] = transition{value: after, previous: from}
	}
}

// finish records a last stage if it improves the value of the whole partition.
func (s *search) finish(from searchState, before, hop float64) {
	if hop > s.maxHop {
		return
	}
	if after := s.combine(before, hop); after < s.value {
		s.value = after
		s.lastState = from
	}
}

// stages follows the best transitions back from the last stage.
func (s *search) stages() []Stage {
	var reversed []Stage
	end := s.model.Layers
	for state := s.lastState; state.accelerator >= 0; state = s.best[state.accelerator][state.layer].previous {
		endpoint := s.chain.Accelerators[state.accelerator].Endpoint
		reversed = append(reversed, Stage{Endpoint: endpoint, First: state.layer, Last: end - 1})
		end = state.layer
	}
	stages := make([]Stage, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		stages = append(stages, reversed[i])
	}
	return stages
}

// Evaluate returns a partition with its cost on a chain, and false if the chain lacks one
// of its engines or orders them differently.
func Evaluate(p Partition, chain Chain) (Partition, bool) {
	measured := Partition{Stages: p.Stages}
	for i, stage := range p.Stages {
		index := chain.index(stage.Endpoint)
		if index < 0 {
			return Partition{}, false
		}
		hop := float64(stage.Last-stage.First+1) * chain.Accelerators[index].LayerMicros
		if i+1 < len(p.Stages) {
			next := chain.index(p.Stages[i+1].Endpoint)
			if next <= index {
				return Partition{}, false
			}
			hop += chain.LinkMicros[index][next]
		}
		measured.Bottleneck = max(measured.Bottleneck, hop)
		measured.Total += hop
	}
	return measured, len(p.Stages) > 0
}

func (c Chain) index(endpoint string) int {
	for i := range c.Accelerators {
		if c.Accelerators[i].Endpoint == endpoint {
			return i
		}
	}
	return -1
}
