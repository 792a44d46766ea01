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
	// The assumed values are used where the document gives no value. They describe equal
	// accelerators with enough memory, and links between failure domains that are ten times
	// slower than links within a failure domain. The planner then makes an even partition,
	// which is improved once times have been measured.
	assumedLayerMicros      = 1000
	assumedMemory           = int64(1) << 50
	assumedLocalLinkMicros  = 100
	assumedRemoteLinkMicros = 1000
	assumedLayerBytes       = 1
	reasonFirst             = "first plan: least bottleneck within memory"
	reasonEndpoints         = "the document names other endpoints"
	reasonMeasured          = "measured times make another cut better"
	reasonVersion           = "the document names another version of the weights"
)

// plannerInput returns a replica's model and chain as input of the planner.
func plannerInput(d *docindex.Index, spec replicaSpec) (placement.Model, placement.Chain) {
	model := placementModel(spec)
	var chain placement.Chain
	domains := make([]string, len(spec.stages))
	for i, s := range spec.stages {
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

func placementModel(spec replicaSpec) placement.Model {
	model := placement.Model{Layers: spec.model.Layers, LayerBytes: assumedLayerBytes}
	if spec.model.LayerMegabytes > 0 {
		model.LayerBytes = int64(spec.model.LayerMegabytes) * megabyte
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
		return assumedLocalLinkMicros
	}
	return assumedRemoteLinkMicros
}

// decide reports whether the replica needs another plan than the cached one. It returns the
// stages and the reason of the new plan.
func (replica *managedReplica) decide(now time.Time, model placement.Model, chain placement.Chain, cache *Cache) ([]plan.Stage, string, bool, error) {
	replicaPlan, ok := cache.Agreed(replica.spec.key.model, replica.spec.name)
	stages, version := documentStages(replicaPlan), replicaPlan.Version
	switch {
	case !ok || !usesOnly(stages, replica.spec.stages):
		reason := reasonFirst
		if ok {
			reason = reasonEndpoints
		}
		partition, err := placement.BestPartition(model, chain)
		return planStages(partition), reason, true, err
	case replicaPlan.Weights != replica.spec.model.Version:
		return replicaPlan.Stages, reasonVersion, true, nil
	case replica.planner == nil:
		replica.planner = placement.NewPlanner(model, chain, placement.Plan{Version: version, Partition: evaluatedPartition(stages, chain)}, placement.Policy{})
	default:
		replica.planner.SetChain(chain)
		replica.planner.Adopt(now, placement.Plan{Version: version, Partition: evaluatedPartition(stages, chain)})
	}
	next, changed := replica.planner.Decide(now)
	return planStages(next.Partition), reasonMeasured, changed, nil
}

// usesOnly reports whether the endpoints of all stages are among the declared ones.
func usesOnly(stages, declared []document.Stage) bool {
	for _, s := range stages {
		if !slices.ContainsFunc(declared, func(n document.Stage) bool { return n.Endpoint == s.Endpoint }) {
			return false
		}
	}
	return true
}

func evaluatedPartition(stages []document.Stage, chain placement.Chain) placement.Partition {
	partition := placement.Partition{}
	for _, s := range stages {
		partition.Stages = append(partition.Stages, placement.Stage{Endpoint: s.Endpoint, First: s.Layers[0], Last: s.Layers[1]})
	}
	if evaluated, ok := placement.Evaluate(partition, chain); ok {
		return evaluated
	}
	return partition
}

func planStages(partition placement.Partition) []plan.Stage {
	stages := make([]plan.Stage, len(partition.Stages))
	for i, s := range partition.Stages {
		stages[i] = plan.Stage{Endpoint: s.Endpoint, First: s.First, Last: s.Last}
	}
	return stages
}

// adopt sets the planner's present plan to a plan that was written to the store.
func (replica *managedReplica) adopt(now time.Time, model placement.Model, chain placement.Chain, replicaPlan plan.Replica) {
	next := placement.Partition{}
	for _, s := range replicaPlan.Stages {
		next.Stages = append(next.Stages, placement.Stage{Endpoint: s.Endpoint, First: s.First, Last: s.Last})
	}
	if evaluated, ok := placement.Evaluate(next, chain); ok {
		next = evaluated
	}
	adopted := placement.Plan{Version: replicaPlan.Version, Partition: next}
	if replica.planner == nil {
		replica.planner = placement.NewPlanner(model, chain, adopted, placement.Policy{})
		return
	}
	replica.planner.Adopt(now, adopted)
}
