package layerplans

import (
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/plan"
)

const (
	megabyte = 1 << 20
	// Assumed where the document says nothing: equal accelerators with room
	// enough, and links an order of magnitude apart within and between failure
	// domains. An even cut follows, which the measured times then correct.
	assumedLayerMicros = 1000
	assumedMemory      = int64(1) << 50
	assumedNearMicros  = 100
	assumedFarMicros   = 1000
	assumedLayerBytes  = 1
	reasonFirst        = "first plan: least bottleneck within memory"
	reasonEndpoints    = "the document names other endpoints"
	reasonMeasured     = "measured times make another cut better"
	reasonVersion      = "the document names another version of the weights"
)

// shapeOf is a replica as the planner sees it.
func shapeOf(d *docindex.Directory, open openReplica) (placement.Model, placement.Chain) {
	model := modelOf(open)
	var chain placement.Chain
	domains := make([]string, len(open.stages))
	for i, s := range open.stages {
		e, _ := d.Endpoint(s.Endpoint)
		domains[i] = e.FailureDomain
		chain.Accelerators = append(chain.Accelerators, acceleratorOf(d.Document, e))
	}
	for i := range domains {
		row := make([]float64, len(domains))
		for j := i + 1; j < len(domains); j++ {
			row[j] = linkMicros(d.Document, domains[i], domains[j])
		}
		chain.LinkMicros = append(chain.LinkMicros, row)
	}
	return model, chain
}

func modelOf(open openReplica) placement.Model {
	model := placement.Model{Layers: open.model.Layers, LayerBytes: assumedLayerBytes}
	if open.model.LayerMegabytes > 0 {
		model.LayerBytes = int64(open.model.LayerMegabytes) * megabyte
	}
	return model
}

func acceleratorOf(doc *document.Document, e document.Endpoint) placement.Accelerator {
	a := placement.Accelerator{Endpoint: e.Name, LayerMicros: assumedLayerMicros, MemoryBytes: assumedMemory}
	for _, kind := range doc.Accelerators {
		if kind.Name == e.Accelerator {
			a.LayerMicros = kind.LayerMicros
			a.MemoryBytes = int64(kind.MemoryMegabytes) * megabyte
		}
	}
	return a
}

func linkMicros(doc *document.Document, from, to string) float64 {
	for _, l := range doc.Links {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.Micros
		}
	}
	if from == to {
		return assumedNearMicros
	}
	return assumedFarMicros
}

// decide says whether the replica needs another plan than the one agreed, and
// which.
func (kept *keptReplica) decide(now time.Time, model placement.Model, chain placement.Chain, book *Book) ([]plan.Stage, string, bool, error) {
	planned, ok := book.Agreed(kept.open.place.model, kept.open.name)
	agreed, version := documentStages(planned), planned.Version
	switch {
	case !ok || !within(agreed, kept.open.stages):
		reason := reasonFirst
		if ok {
			reason = reasonEndpoints
		}
		cut, err := placement.BestPartition(model, chain)
		return stagesOf(cut), reason, true, err
	case planned.Weights != kept.open.model.Version:
		return planned.Stages, reasonVersion, true, nil
	case kept.planner == nil:
		kept.planner = placement.NewPlanner(model, chain, placement.Plan{Version: version, Partition: measuredCut(agreed, chain)}, placement.Policy{})
	default:
		kept.planner.SetChain(chain)
		kept.planner.Adopt(now, placement.Plan{Version: version, Partition: measuredCut(agreed, chain)})
	}
	next, changed := kept.planner.Decide(now)
	return stagesOf(next.Partition), reasonMeasured, changed, nil
}

// within says whether every stage's endpoint is one that the document names.
func within(agreed, named []document.Stage) bool {
	for _, s := range agreed {
		if !slices.ContainsFunc(named, func(n document.Stage) bool { return n.Endpoint == s.Endpoint }) {
			return false
		}
	}
	return true
}

func measuredCut(agreed []document.Stage, chain placement.Chain) placement.Partition {
	cut := placement.Partition{}
	for _, s := range agreed {
		cut.Stages = append(cut.Stages, placement.Stage{Endpoint: s.Endpoint, First: s.Layers[0], Last: s.Layers[1]})
	}
	if priced, ok := placement.Evaluate(cut, chain); ok {
		return priced
	}
	return cut
}

func stagesOf(cut placement.Partition) []plan.Stage {
	stages := make([]plan.Stage, len(cut.Stages))
	for i, s := range cut.Stages {
		stages[i] = plan.Stage{Endpoint: s.Endpoint, First: s.First, Last: s.Last}
	}
	return stages
}

// adopt takes an agreed plan.
func (kept *keptReplica) adopt(now time.Time, model placement.Model, chain placement.Chain, agreed plan.Replica) {
	next := placement.Partition{}
	for _, s := range agreed.Stages {
		next.Stages = append(next.Stages, placement.Stage{Endpoint: s.Endpoint, First: s.First, Last: s.Last})
	}
	if priced, ok := placement.Evaluate(next, chain); ok {
		next = priced
	}
	adopted := placement.Plan{Version: agreed.Version, Partition: next}
	if kept.planner == nil {
		kept.planner = placement.NewPlanner(model, chain, adopted, placement.Policy{})
		return
	}
	kept.planner.Adopt(now, adopted)
}
