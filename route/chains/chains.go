// Package chains turns a replica of a model into the chain of engines that a
// stream is sent along: from the layers that the document gives, or from the
// plan in force.
package chains

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/call"
	"github.com/cicadatack/cicadatack/route/directory"
	"github.com/cicadatack/cicadatack/route/stream"
)

// Error is the class of this layer's errors.
var Error = errs.Class("chains")

// ErrNoPlan reports a replica whose layers nobody has cut yet.
var ErrNoPlan = errors.New("no plan for the replica yet")

// Plans returns the layers of a replica that the document leaves open.
type Plans interface {
	// Plan returns the stages with their layers and the version to fence by.
	Plan(model, replica string) (stages []document.Stage, version int64, ok bool)
}

// Resolver resolves replicas. Plans may be nil: then the document must give
// the layers. Safe for concurrent use.
type Resolver struct {
	Plans Plans
}

// Chain returns the chain of a replica of c's service.
func (r *Resolver) Chain(c *call.Call, replica string) (stream.Chain, error) {
	spec := find(c.Service.Model, replica)
	if spec == nil {
		return stream.Chain{}, Error.Wrap(fmt.Errorf("no replica is named %q", replica))
	}
	stages, version, err := r.stages(c, spec)
	if err != nil {
		return stream.Chain{}, Error.Wrap(err)
	}
	return build(c.Directory, replica, stages, version)
}

// DocumentVersion is the placement version of chains whose layers stand in the
// document. No plan decides about them, so engines are not asked to agree on a
// number; what they hold is still compared.
const DocumentVersion = 0

func (r *Resolver) stages(c *call.Call, spec *document.Replica) ([]document.Stage, int64, error) {
	if len(spec.Stages[0].Layers) > 0 {
		return spec.Stages, DocumentVersion, nil
	}
	if r.Plans != nil {
		if stages, version, ok := r.Plans.Plan(c.Service.Name, spec.Name); ok {
			return stages, version, nil
		}
	}
	return nil, 0, fmt.Errorf("%w: %q", ErrNoPlan, spec.Name)
}

func find(m *document.Model, replica string) *document.Replica {
	for i := range m.Replicas {
		if m.Replicas[i].Name == replica {
			return &m.Replicas[i]
		}
	}
	return nil
}

func build(d *directory.Directory, replica string, stages []document.Stage, version int64) (stream.Chain, error) {
	chain := stream.Chain{Replica: replica, PlacementVersion: version}
	for _, s := range stages {
		e, ok := d.Endpoint(s.Endpoint)
		if !ok {
			return stream.Chain{}, Error.Wrap(fmt.Errorf("no endpoint is named %q", s.Endpoint))
		}
		chain.Stages = append(chain.Stages, engineapi.Stage{
			Endpoint: e.Name,
			Address:  e.Address,
			First:    s.Layers[0],
			Last:     s.Layers[1],
		})
	}
	return chain, nil
}
