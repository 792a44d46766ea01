package callparser

import (
	"testing"

	"github.com/cicadatack/cicadatack/state/document"
)

// If an unknown adapter were not refused, the model without an adapter would answer. A
// call that names no adapter gets its team's.
func TestUseAdapter(t *testing.T) {
	service := &document.Service{Name: "pastry-llm", Model: &document.Model{Adapters: []document.Adapter{
		{Name: "notes"}, {Name: "plans", Teams: []string{"menteng"}},
	}}}
	cases := []struct{ model, team, want, refused string }{
		{"pastry-llm", "menteng", "plans", ""},
		{"pastry-llm", "kuta", "", ""},
		{"pastry-llm:notes", "menteng", "notes", ""},
		{"pastry-llm:plans", "kuta", "plans", ""},
		{"pastry-llm:other", "menteng", "", "unknown_adapter"},
	}
	for _, c := range cases {
		name, adapter := SplitModel(c.model)
		call := &Call{Service: service, Team: &document.Team{Name: c.team}}
		refusal := call.UseAdapter(adapter)
		if name != "pastry-llm" || call.Adapter != c.want || (refusal != nil) != (c.refused != "") {
			t.Errorf("%s of %s: %q of %q, %v", c.model, c.team, call.Adapter, name, refusal)
		}
	}
}
