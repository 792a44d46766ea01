package faultmatrix

import (
	"slices"
	"testing"
)

// A reader of the table takes it for all that can go wrong. A fault that a path
// forgot would leave no trace there, so each path has cells of every fault that
// the matrix knows, or says why it has none.
func TestNoPathForgetsAFault(t *testing.T) {
	for _, p := range paths {
		for _, f := range everyFault {
			has := holds(p.faults, f.name)
			omits := slices.ContainsFunc(p.omitted, func(o omission) bool { return holds(o.faults, f.name) })
			if has == omits {
				t.Errorf("%s: %q has cells: %t, is left out with a reason: %t", p.name, f.name, has, omits)
			}
		}
	}
}

func holds(list []fault, name string) bool {
	return slices.ContainsFunc(list, func(f fault) bool { return f.name == name })
}

// A cell that did not run is seen, also if every other one passed.
func TestTableSeesAGap(t *testing.T) {
	one := path{name: "p", steps: []step{{name: "s"}}, faults: []fault{{name: "f"}, {name: "g"}}}
	table := planned([]path{one})
	table.put(cellKey{"p", "s", "f"}, cellResult{verdict: passed})
	if got := table.missing(); !slices.Equal(got, []string{"p | s | g"}) {
		t.Errorf("missing %q", got)
	}
}
