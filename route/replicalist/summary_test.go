package replicalist

import (
	"fmt"
	"strings"
	"testing"
)

// Without a bound on the summary, the size of the log would grow with the number of nodes
// times the number of replicas. When a thousand replicas change at once, the summary names
// only a few of the replicas that the node uses, the removed replicas first.
func TestSummaryIsBounded(t *testing.T) {
	var changes []Change
	for i := range 1000 {
		kind := ChangeUpdated
		if i%100 == 99 {
			kind = ChangeRemoved
		}
		changes = append(changes, Change{Replica: &Replica{ID: fmt.Sprintf("i-%03d", i)}, Kind: kind})
	}
	used := func(r *Replica) bool { return strings.HasSuffix(r.ID, "9") }
	s := Summarize(changes, used, 12)
	if s.CountsByKind[ChangeUpdated] != 990 || s.CountsByKind[ChangeRemoved] != 10 {
		t.Errorf("counts by kind: %v", s.CountsByKind)
	}
	if len(s.UsedByNode) != 12 || s.OmittedCount != 88 {
		t.Fatalf("%d changes kept and %d omitted, want 12 and 88 of 100", len(s.UsedByNode), s.OmittedCount)
	}
	for i, c := range s.UsedByNode {
		if removed := c.Kind == ChangeRemoved; removed != (i < 10) {
			t.Errorf("change at index %d has kind %q", i, c.Kind)
		}
	}
	if s := Summarize(changes, func(*Replica) bool { return false }, 12); len(s.UsedByNode) != 0 || s.OmittedCount != 0 {
		t.Errorf("%d changes kept of a node that uses no replica", len(s.UsedByNode))
	}
}
