// Package chains turns a replica of a model into the chain of engines that a
// stream is sent along: from the layers that the document gives, or from the
// plan in force.
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

// Error is the class of this layer's errors.
var Error = errs.Class("chains")

// ErrNoPlan reports a replica whose layers nobody has cut yet.
var ErrNoPlan = errors.New("no plan for the replica yet")

// ErrNoAdapter reports a replica that is not planned to hold the adapter asked for.
var ErrNoAdapter = errors.New("the replica is not to hold the adapter")

// Plans returns the layers of a replica that the document leaves open.
type Plans interface {
	// Agreed returns the plan in force, as far as this node knows.
	Agreed(model, replica string) (agreed plan.Replica, ok bool)
}

// Resolver resolves replicas. Plans may be nil: then the document must give
// the layers. Safe for concurrent use.
type Resolver struct {
	Plans Plans
}

// Chain returns the chain of a replica of c's service.
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
	return buildChain(c.Directory, replica, replicaPlan, artifact)
}

// artifactOf is what a call runs on a replica. Of two versions of its adapter it is
// the one that the replica was given first: the other may still be loading, and is
// alone once it is there.
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

// DocumentVersion is the placement version of chains whose layers stand in the
// document. No plan decides about them, so engines are not asked to agree on a
// number; what they hold is still compared.
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

func buildChain(d *docindex.Directory, replica string, replicaPlan plan.Replica, artifact engineapi.Artifact) (stream.Chain, error) {
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
