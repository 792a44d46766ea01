package chains

import (
	"errors"
	"testing"

	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/route/call"
	"github.com/cicadatack/cicadatack/route/directory"
)

type plan struct{ stages []document.Stage }

func (p plan) Plan(_, replica string) ([]document.Stage, int64, bool) {
	return p.stages, 7, replica == "planned"
}

// A chain's layers are the document's, or the plan's where the document leaves
// them open, with the number to fence by. Nothing is guessed: without a plan, or
// with an engine that the document does not name, there is no chain.
func TestChain(t *testing.T) {
	doc := &document.Document{
		Endpoints: []document.Endpoint{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.1:2"}},
		Services: []document.Service{{Name: "pastry-llm", Kind: document.KindModel, Model: &document.Model{Layers: 8, Replicas: []document.Replica{
			{Name: "fixed", Stages: []document.Stage{{Endpoint: "a", Layers: []int{0, 3}}, {Endpoint: "b", Layers: []int{4, 7}}}},
			{Name: "planned", Stages: []document.Stage{{Endpoint: "a"}, {Endpoint: "b"}}},
			{Name: "open", Stages: []document.Stage{{Endpoint: "a"}, {Endpoint: "b"}}},
		}}}},
	}
	c := &call.Call{Service: &doc.Services[0], Directory: directory.Build(doc, 1, "digest")}
	planned := plan{[]document.Stage{{Endpoint: "a", Layers: []int{0, 1}}, {Endpoint: "b", Layers: []int{2, 7}}}}
	cases := []struct {
		replica string
		plans   Plans
		version int64
		cut     int // the last layer of the first stage
		fails   bool
	}{
		{"fixed", nil, DocumentVersion, 3, false},
		{"fixed", planned, DocumentVersion, 3, false},
		{"planned", planned, 7, 1, false},
		{"open", planned, 0, 0, true},
		{"open", nil, 0, 0, true},
		{"unknown", planned, 0, 0, true},
		{"planned", plan{[]document.Stage{{Endpoint: "gone", Layers: []int{0, 7}}}}, 0, 0, true},
	}
	for _, c2 := range cases {
		chain, err := (&Resolver{Plans: c2.plans}).Chain(c, c2.replica)
		if (err != nil) != c2.fails {
			t.Errorf("%s: %v", c2.replica, err)
			continue
		}
		if err == nil && (chain.PlacementVersion != c2.version || chain.Stages[0].Last != c2.cut || chain.Stages[1].Address != "127.0.0.1:2") {
			t.Errorf("%s: %+v", c2.replica, chain)
		}
	}
	if _, err := (&Resolver{}).Chain(c, "open"); !errors.Is(err, ErrNoPlan) {
		t.Errorf("without a plan: %v", err)
	}
}
