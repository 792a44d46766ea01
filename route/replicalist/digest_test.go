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
		what := WhatChanged
		if i%100 == 99 {
			what = WhatGone
		}
		changes = append(changes, Change{Replica: &Replica{ID: fmt.Sprintf("i-%03d", i)}, What: what})
	}
	used := func(r *Replica) bool { return strings.HasSuffix(r.ID, "9") }
	d := Digested(changes, used, 12)
	if d.Counts[WhatChanged] != 990 || d.Counts[WhatGone] != 10 {
		t.Errorf("counted %v", d.Counts)
	}
	if len(d.Own) != 12 || d.Left != 88 {
		t.Fatalf("%d told, %d left of 100 used", len(d.Own), d.Left)
	}
	for i, c := range d.Own {
		if gone := c.What == WhatGone; gone != (i < 10) {
			t.Errorf("place %d holds one that is %s", i, c.What)
		}
	}
	if d := Digested(changes, func(*Replica) bool { return false }, 12); len(d.Own) != 0 || d.Left != 0 {
		t.Errorf("%d told of none used", len(d.Own))
	}
}
