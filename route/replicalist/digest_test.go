package replicalist

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a log that grows with nodes times replicas: of a thousand replicas that
// change at once, only those that the node uses are told by name, and few of them.
func TestDigestIsBounded(t *testing.T) {
	var changes []Change
	for i := range 1000 {
		what := ChangeUpdated
		if i%100 == 99 {
			what = ChangeRemoved
		}
		changes = append(changes, Change{Replica: &Replica{ID: fmt.Sprintf("i-%03d", i)}, Kind: what})
	}
	used := func(r *Replica) bool { return strings.HasSuffix(r.ID, "9") }
	d := Summarize(changes, used, 12)
	if d.CountsByKind[ChangeUpdated] != 990 || d.CountsByKind[ChangeRemoved] != 10 {
		t.Errorf("counted %v", d.CountsByKind)
	}
	if len(d.UsedByNode) != 12 || d.OmittedCount != 88 {
		t.Fatalf("%d told, %d left of 100 used", len(d.UsedByNode), d.OmittedCount)
	}
	for i, c := range d.UsedByNode {
		if gone := c.Kind == ChangeRemoved; gone != (i < 10) {
			t.Errorf("place %d holds one that is %s", i, c.Kind)
		}
	}
	if d := Summarize(changes, func(*Replica) bool { return false }, 12); len(d.UsedByNode) != 0 || d.OmittedCount != 0 {
		t.Errorf("%d told of none used", len(d.UsedByNode))
	}
}
