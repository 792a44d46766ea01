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

// Partition is a model cut over a chain. A hop is a stage's layers and its outgoing
// link; a stage takes its next token only when the hop is over.
type Partition struct {
	Stages []Stage
	// Bottleneck is the longest hop, Total the sum of all, in microseconds.
	Bottleneck, Total float64
}

// BestPartition returns the cut with the least bottleneck, and of these the one with
// the least total. Its time grows with the square of the engines and of the
// layers.
func BestPartition(model Model, chain Chain) (Partition, error) {
	minBottleneck := newSearch(model, chain, math.Inf(1), math.Max)
	if math.IsInf(minBottleneck.value, 1) {
		return Partition{}, ErrNoFit
	}
	// A prefix with the least bottleneck need not have the least minTotal, so
	// the minTotal is sought in a second pass under the bottleneck found.
	minTotal := newSearch(model, chain, minBottleneck.value, func(a, b float64) float64 { return a + b })
	return Partition{Stages: minTotal.stages(), Bottleneck: minBottleneck.value, Total: minTotal.value}, nil
}

// searchState is the state of the search: accelerator at is used and begins at layer
// from.
type searchState struct{ accelerator, layer int }

// transition is the best way to a start: from the start before it, with the layers
// that the accelerator there takes.
type transition struct {
	value    float64
	previous searchState
}

// search is a dynamic programme over starts. limit bounds each hop; combine
// folds the hops into the value that is minimised.
type search struct {
	model     Model
	chain     Chain
	maxHop    float64
	combine   func(a, b float64) float64
	best      [][]transition
	lastState searchState // the start of the last stage
	value     float64
}

func newSearch(model Model, chain Chain, maxHop float64, combine func(a, b float64) float64) *search {
	s := &search{model: model, chain: chain, maxHop: maxHop, combine: combine, value: math.Inf(1)}
	s.best = make([][]transition, len(chain.Accelerators))
	for at := range s.best {
		s.best[at] = make([]transition, model.Layers)
		for from := range s.best[at] {
			s.best[at][from] = transition{value: math.Inf(1)}
		}
		if model.Layers > 0 {
			s.best[at][0] = transition{previous: searchState{accelerator: -1}}
		}
	}
	for at := range s.best {
		for from := range s.best[at] {
			s.extend(searchState{at, from})
		}
	}
	return s
}

// extend tries every number of layers on the accelerator of a start, and every
// accelerator behind it.
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

// maxLayers is how many layers the accelerator of a start can take.
func (s *search) maxLayers(from searchState) int {
	remaining := s.model.Layers - from.layer
	if s.model.LayerBytes <= 0 {
		return remaining
	}
	fits := s.chain.Accelerators[from.accelerator].MemoryBytes / s.model.LayerBytes
	return int(min(int64(remaining), max(fits, 0)))
}

func (s *search) relax(to, from searchState, before, hop float64) {
	if hop > s.maxHop {
		return
	}
	if after := s.combine(before, hop); after < s.best[to.accelerator][to.layer].value {
		s.best[to.accelerator][to.layer] = transition{value: after, previous: from}
	}
}

func (s *search) finish(from searchState, before, hop float64) {
	if hop > s.maxHop {
		return
	}
	if after := s.combine(before, hop); after < s.value {
		s.value = after
		s.lastState = from
	}
}

// stages walks the best choices back from the last stage.
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

// Evaluate returns what a cut costs on a chain, and false if the chain no
// longer has an engine of it.
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
