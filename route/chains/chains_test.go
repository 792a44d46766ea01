package chains

import (
	"errors"
	"testing"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

type fakePlans []plan.Stage

func (a fakePlans) Agreed(_, replica string) (plan.Replica, bool) {
	return plan.Replica{
		Version: 7, Stages: a, Weights: "v2",
		Adapters: []plan.Adapter{{Name: "notes", Version: "1"}, {Name: "notes", Version: "2"}},
	}, replica == "planned"
}

// A chain's layers come from the document. If the document gives none, the layers and the
// placement version come from the plan. If there is no plan either, or the plan names an
// engine that is not in the document, Chain must return an error and not guess layers.
func TestChain(t *testing.T) {
	doc := &document.Document{
		Endpoints: []document.Endpoint{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.1:2"}},
		Services: []document.Service{{Name: "pastry-llm", Kind: document.KindModel, Model: &document.Model{Layers: 8, Replicas: []document.Replica{
			{Name: "fixed", Stages: []document.Stage{{Endpoint: "a", Layers: []int{0, 3}}, {Endpoint: "b", Layers: []int{4, 7}}}},
			{Name: "planned", Stages: []document.Stage{{Endpoint: "a"}, {Endpoint: "b"}}},
			{Name: "open", Stages: []document.Stage{{Endpoint: "a"}, {Endpoint: "b"}}},
		}}}},
	}
	c := &callparser.Call{Service: &doc.Services[0], DocumentIndex: docindex.Build(doc, 1, "digest")}
	planned := fakePlans{{Endpoint: "a", Last: 1}, {Endpoint: "b", First: 2, Last: 7}}
	cases := []struct {
		replica        string
		plans          Plans
		version        int64
		firstStageLast int // the last layer of the first stage
		fails          bool
	}{
		{"fixed", nil, DocumentVersion, 3, false},
		{"fixed", planned, DocumentVersion, 3, false},
		{"planned", planned, 7, 1, false},
		{"open", planned, 0, 0, true},
		{"open", nil, 0, 0, true},
		{"unknown", planned, 0, 0, true},
		{"planned", fakePlans{{Endpoint: "gone", Last: 7}}, 0, 0, true},
	}
	for _, tc := range cases {
		chain, err := (&Resolver{Plans: tc.plans}).Chain(c, tc.replica)
		if (err != nil) != tc.fails {
			t.Errorf("%s: %v", tc.replica, err)
			continue
		}
		if err == nil && (chain.PlacementVersion != tc.version || chain.Stages[0].Last != tc.firstStageLast || chain.Stages[1].Address != "127.0.0.1:2") {
			t.Errorf("%s: %+v", tc.replica, chain)
		}
	}
	if _, err := (&Resolver{}).Chain(c, "open"); !errors.Is(err, ErrNoPlan) {
		t.Errorf("got %v without a plan, want ErrNoPlan", err)
	}
	c.Adapter = "notes"
	chain, err := (&Resolver{Plans: planned}).Chain(c, "planned")
	if want := (engineapi.Artifact{Weights: "v2", Adapter: "notes@1"}); err != nil || chain.Artifact != want {
		t.Errorf("%+v, want %+v: %v", chain.Artifact, want, err)
	}
	c.Adapter = "other"
	for _, replica := range []string{"planned", "fixed"} {
		if _, err := (&Resolver{Plans: planned}).Chain(c, replica); !errors.Is(err, ErrNoAdapter) {
			t.Errorf("%s: got %v for an adapter that is not planned, want ErrNoAdapter", replica, err)
		}
	}
}
