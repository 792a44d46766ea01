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
	minBottleneck := runSearch(model, chain, math.Inf(1), math.Max)
	if math.IsInf(minBottleneck.bestCost, 1) {
		return Partition{}, ErrNoFit
	}
	// A prefix with the least bottleneck need not have the least total, so a second
	// pass minimises the total under the bottleneck found by the first.
	minTotal := runSearch(model, chain, minBottleneck.bestCost, func(a, b float64) float64 { return a + b })
	return Partition{Stages: minTotal.stages(), Bottleneck: minBottleneck.bestCost, Total: minTotal.bestCost}, nil
}

// searchState is a state of the search: a stage that runs on an accelerator and begins at
// a layer.
type searchState struct{ accelerator, layer int }

// transition is the best transition into a state: the state before it and the value of
// all hops so far.
type transition struct {
	cost     float64
	previous searchState
}

// search is a dynamic programme over states. maxHop bounds each hop; combine folds the
// hops into the value that is minimised.
type search struct {
	model           Model
	chain           Chain
	maxHopMicros    float64
	combine         func(a, b float64) float64
	bestTransitions [][]transition
	lastState       searchState // of the last stage
	bestCost        float64
}

func runSearch(model Model, chain Chain, maxHopMicros float64, combine func(a, b float64) float64) *search {
	s := &search{model: model, chain: chain, maxHopMicros: maxHopMicros, combine: combine, bestCost: math.Inf(1)}
	s.bestTransitions = make([][]transition, len(chain.Accelerators))
	for accelerator := range s.bestTransitions {
		s.bestTransitions[accelerator] = make([]transition, model.Layers)
		for layer := range s.bestTransitions[accelerator] {
			s.bestTransitions[accelerator][layer] = transition{cost: math.Inf(1)}
		}
		if model.Layers > 0 {
			s.bestTransitions[accelerator][0] = transition{previous: searchState{accelerator: -1}}
		}
	}
	for accelerator := range s.bestTransitions {
		for layer := range s.bestTransitions[accelerator] {
			s.extend(searchState{accelerator, layer})
		}
	}
	return s
}

// extend tries every number of layers on the accelerator of a state, and every later
// accelerator for the next stage.
func (s *search) extend(state searchState) {
	costSoFar := s.bestTransitions[state.accelerator][state.layer].cost
	if math.IsInf(costSoFar, 1) {
		return
	}
	accelerator := s.chain.Accelerators[state.accelerator]
	for layers := 1; layers <= s.maxLayers(state); layers++ {
		computeMicros := float64(layers) * accelerator.LayerMicros
		end := state.layer + layers
		if end == s.model.Layers {
			s.recordLastStage(state, costSoFar, computeMicros)
			return
		}
		for nextAccelerator := state.accelerator + 1; nextAccelerator < len(s.bestTransitions); nextAccelerator++ {
			hopMicros := computeMicros + s.chain.LinkMicros[state.accelerator][nextAccelerator]
			s.relax(searchState{nextAccelerator, end}, state, costSoFar, hopMicros)
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
func (s *search) relax(to, from searchState, costSoFar, hopMicros float64) {
	if hopMicros > s.maxHopMicros {
		return
	}
	if cost := s.combine(costSoFar, hopMicros); cost < s.bestTransitions[to.accelerator][to.layer].cost {
		s.bestTransitions[to.accelerator][to.layer] = transition{cost: cost, previous: from}
	}
}

// recordLastStage records a last stage if it improves the value of the whole partition.
func (s *search) recordLastStage(from searchState, costSoFar, hopMicros float64) {
	if hopMicros > s.maxHopMicros {
		return
	}
	if cost := s.combine(costSoFar, hopMicros); cost < s.bestCost {
		s.bestCost = cost
		s.lastState = from
	}
}

// stages follows the best transitions back from the last stage.
func (s *search) stages() []Stage {
	var reversed []Stage
	end := s.model.Layers
	for state := s.lastState; state.accelerator >= 0; state = s.bestTransitions[state.accelerator][state.layer].previous {
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
	evaluated := Partition{Stages: p.Stages}
	for i, stage := range p.Stages {
		index := chain.acceleratorIndex(stage.Endpoint)
		if index < 0 {
			return Partition{}, false
		}
		hopMicros := float64(stage.Last-stage.First+1) * chain.Accelerators[index].LayerMicros
		if i+1 < len(p.Stages) {
			nextIndex := chain.acceleratorIndex(p.Stages[i+1].Endpoint)
			if nextIndex <= index {
				return Partition{}, false
			}
			hopMicros += chain.LinkMicros[index][nextIndex]
		}
		evaluated.Bottleneck = max(evaluated.Bottleneck, hopMicros)
		evaluated.Total += hopMicros
	}
	return evaluated, len(p.Stages) > 0
}

func (c Chain) acceleratorIndex(endpoint string) int {
	for i := range c.Accelerators {
		if c.Accelerators[i].Endpoint == endpoint {
			return i
		}
	}
	return -1
}
