package placement

import (
	"errors"
	"math"
)

// ErrNoFit means that the model doesn't fit in the memory of the chain.
var ErrNoFit = errors.New("placement: the chain's memory does not hold the model")

// Model describes the model whose layers are divided.
type Model struct {
	// Layers is the number of layers.
	Layers int
	// LayerBytes is the memory of one layer: its weights and its part of the KV cache.
	LayerBytes int64
}

// Accelerator is one engine of a chain, with the accelerator on which it runs.
type Accelerator struct {
	// Endpoint is the name of the engine's endpoint.
	Endpoint string
	// LayerMicros is the time that one token takes in one layer, in microseconds.
	LayerMicros float64
	// MemoryBytes is the memory for layers and their KV cache.
	MemoryBytes int64
}

// Chain lists engines in the order in which a token may pass through them. A partition
// need not use all engines of the chain.
type Chain struct {
	Accelerators []Accelerator
	// LinkMicros[i][j], for i < j, is the time to transfer one token's data from
	// accelerator i to accelerator j, in microseconds.
	LinkMicros [][]float64
}

// Stage is an engine with the first and last layer that it is to hold, both inclusive.
type Stage struct {
	// Endpoint is the name of the engine's endpoint.
	Endpoint    string
	First, Last int
}

// Partition divides the layers of a model over engines of a chain. A stage starts its next
// token only after the hop of the present token: the computation of its layers and the
// transfer to the next stage.
type Partition struct {
	Stages []Stage
	// Bottleneck is the time of the longest hop and Total the sum of the times of all hops,
	// in microseconds.
	Bottleneck, Total float64
}

// BestPartition returns the partition with the shortest bottleneck. If several partitions
// have this bottleneck, BestPartition returns the one with the least total. The running time of
// BestPartition grows with the square of the number of engines times the square of the
// number of layers.
func BestPartition(model Model, chain Chain) (Partition, error) {
	bottleneckSearch := runSearch(model, chain, math.Inf(1), math.Max)
	if math.IsInf(bottleneckSearch.bestCost, 1) {
		return Partition{}, ErrNoFit
	}
	// The stages with the shortest bottleneck need not have the least total. So a second
	// search minimises the total over partitions whose hops are no longer than that
	// bottleneck.
	totalSearch := runSearch(model, chain, bottleneckSearch.bestCost, func(a, b float64) float64 { return a + b })
	return Partition{Stages: totalSearch.stages(), Bottleneck: bottleneckSearch.bestCost, Total: totalSearch.bestCost}, nil
}

// searchState is a search state, as two indexes. All layers before layer are divided into
// stages. The next stage begins at layer and runs on accelerator.
type searchState struct{ accelerator, layer int }

// transition is the cheapest transition into a search state: the previous state, and the
// combined cost of all hops of the stages before the layer of the search state.
type transition struct {
	cost     float64
	previous searchState
}

// search finds the partition with the least cost by dynamic programming over search states. No hop
// may take longer than maxHopMicros. combine returns the cost of a partial partition with
// one more hop: the longest hop in the first search, the sum of all hops in the second.
type search struct {
	model           Model
	chain           Chain
	maxHopMicros    float64
	combine         func(a, b float64) float64
	bestTransitions [][]transition // by accelerator and layer of the target state
	lastState       searchState    // state in which the last stage of the best partition begins
	bestCost        float64        // cost of the best partition found so far
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
			s.tryStages(searchState{accelerator, layer})
		}
	}
	return s
}

// tryStages tries all stages that can begin at the layer of a search state on the accelerator
// of the state: one for each number of layers that fit on this accelerator. After each of these
// stages tryStages tries every later accelerator of the chain for the next stage.
func (s *search) tryStages(state searchState) {
	costSoFar := s.bestTransitions[state.accelerator][state.layer].cost
	if math.IsInf(costSoFar, 1) {
		return
	}
	accelerator := s.chain.Accelerators[state.accelerator]
	for layerCount := 1; layerCount <= s.maxLayers(state); layerCount++ {
		computeMicros := float64(layerCount) * accelerator.LayerMicros
		end := state.layer + layerCount
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

// maxLayers returns the maximum number of layers of a stage that begins at the layer of a search
// state and runs on the accelerator of the state: all remaining layers of the model, or as many
// of them as fit on the accelerator.
func (s *search) maxLayers(state searchState) int {
	remaining := s.model.Layers - state.layer
	if s.model.LayerBytes <= 0 {
		return remaining
	}
	fittingLayers := s.chain.Accelerators[state.accelerator].MemoryBytes / s.model.LayerBytes
	return int(min(int64(remaining), max(fittingLayers, 0)))
}

// relax records a transition between two search states if the transition lowers the cost at
// which the search reaches the second state. A transition whose hop is longer than maxHopMicros
// is not recorded.
func (s *search) relax(to, from searchState, costSoFar, hopMicros float64) {
	if hopMicros > s.maxHopMicros {
		return
	}
	if cost := s.combine(costSoFar, hopMicros); cost < s.bestTransitions[to.accelerator][to.layer].cost {
		s.bestTransitions[to.accelerator][to.layer] = transition{cost: cost, previous: from}
	}
}

// recordLastStage records the search state in which the last stage of a partition begins, if
// the partition costs less than the best partition so far. A last stage whose hop is longer than
// maxHopMicros is not recorded.
func (s *search) recordLastStage(state searchState, costSoFar, hopMicros float64) {
	if hopMicros > s.maxHopMicros {
		return
	}
	if cost := s.combine(costSoFar, hopMicros); cost < s.bestCost {
		s.bestCost = cost
		s.lastState = state
	}
}

// stages returns the stages of the best partition. The method follows the cheapest transitions
// back from the last stage.
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

// Evaluate returns a partition with its bottleneck and total on a chain. Evaluate returns
// false if the chain lacks an engine of the partition or has the engines in another order.
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
