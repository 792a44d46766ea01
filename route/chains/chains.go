// Package chains resolves a replica of a model to the chain of engines that runs its
// streams.
//
// The document is the configuration of services, replicas and endpoints. The document
// names the engines of each replica and may give the layers of each engine. If the document
// gives no layers, the layers come from the plan that the nodes have agreed on for the
// replica. The plan also gives the weights and adapters. The plan's version is the
// placement version of the chain (see package stream).
package chains

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// Error is the class of this package's errors.
var Error = errs.Class("chains")

// ErrNoPlan reports a replica whose layers are neither in the document nor in a plan.
var ErrNoPlan = errors.New("no plan for the replica yet")

// ErrNoAdapter reports a replica whose plan does not include the requested adapter.
var ErrNoAdapter = errors.New("the replica's plan does not include the adapter")

// Plans holds the plans of replicas whose layers are not in the document.
type Plans interface {
	// Agreed returns the latest agreed plan that this node knows.
	Agreed(model, replica string) (agreed plan.Replica, ok bool)
}

// Resolver resolves replicas to chains. If Plans is nil, the document must give the
// layers of every replica. A Resolver is safe for concurrent use.
type Resolver struct {
	Plans Plans
}

// Chain returns the chain of a replica of the service that c calls.
func (r *Resolver) Chain(c *callparser.Call, replica string) (stream.Chain, error) {
	spec := findReplica(c.Service.Model, replica)
	if spec == nil {
		return stream.Chain{}, Error.Wrap(fmt.Errorf("no replica is named %q", replica))
	}
	replicaPlan, err := r.replicaPlan(c, spec)
	if err != nil {
		return stream.Chain{}, Error.Wrap(err)
	}
	artifact, err := artifactOf(c, replicaPlan)
	if err != nil {
		return stream.Chain{}, Error.Wrap(err)
	}
	return buildChain(c.DocumentIndex, replica, replicaPlan, artifact)
}

// artifactOf returns the weights and adapter that a call runs on a replica. If the plan
// lists two versions of the adapter, artifactOf returns the first, because the second may
// still be loading. Once the second is loaded, the plan lists only that one.
func artifactOf(c *callparser.Call, replicaPlan plan.Replica) (engineapi.Artifact, error) {
	artifact := engineapi.Artifact{Weights: replicaPlan.Weights}
	if c.Adapter == "" {
		return artifact, nil
	}
	for _, a := range replicaPlan.Adapters {
		if a.Name == c.Adapter {
			artifact.Adapter = engineapi.Adapter(a).String()
			return artifact, nil
		}
	}
	return artifact, fmt.Errorf("%w: %q", ErrNoAdapter, c.Adapter)
}

// DocumentVersion is the placement version of chains whose layers are in the document.
// There is no plan for these chains, and so no plan version. The layers that engines
// report are still compared with the document.
const DocumentVersion = 0

func (r *Resolver) replicaPlan(c *callparser.Call, spec *document.Replica) (plan.Replica, error) {
	if len(spec.Stages[0].Layers) > 0 {
		return planFromDocument(spec), nil
	}
	if r.Plans != nil {
		if replicaPlan, ok := r.Plans.Agreed(c.Service.Name, spec.Name); ok {
			return replicaPlan, nil
		}
	}
	return plan.Replica{}, fmt.Errorf("%w: %q", ErrNoPlan, spec.Name)
}

func planFromDocument(spec *document.Replica) plan.Replica {
	replicaPlan := plan.Replica{Version: DocumentVersion}
	for _, s := range spec.Stages {
		replicaPlan.Stages = append(replicaPlan.Stages, plan.Stage{Endpoint: s.Endpoint, First: s.Layers[0], Last: s.Layers[1]})
	}
	return replicaPlan
}

func findReplica(m *document.Model, replica string) *document.Replica {
	for i := range m.Replicas {
		if m.Replicas[i].Name == replica {
			return &m.Replicas[i]
		}
	}
	return nil
}

func buildChain(d *docindex.Index, replica string, replicaPlan plan.Replica, artifact engineapi.Artifact) (stream.Chain, error) {
	chain := stream.Chain{Replica: replica, PlacementVersion: replicaPlan.Version, Artifact: artifact}
	for _, s := range replicaPlan.Stages {
		e, ok := d.Endpoint(s.Endpoint)
		if !ok {
			return stream.Chain{}, Error.Wrap(fmt.Errorf("no endpoint is named %q", s.Endpoint))
		}
		chain.Stages = append(chain.Stages, engineapi.Stage{
			Endpoint: e.Name,
			Address:  e.Address,
			First:    s.First,
			Last:     s.Last,
		})
	}
	return chain, nil
}
