package paths

import (
	"fmt"
	"strings"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Stage is one replica of a path with the layers that it runs.
type Stage struct {
	Replica string
	Address string
	Domain  string
	Layers  layers.Span
}

// Path lists the stages of a request, in the order in which the request runs through them.
type Path []Stage

// Covers reports whether the path runs each layer of the span exactly once and in
// order, and contains no replica twice. Engines don't check that each layer runs once.
func (p Path) Covers(span layers.Span) bool {
	next := span.From
	seen := make(map[string]bool, len(p))
	for _, stage := range p {
		if stage.Layers.From != next || stage.Layers.Empty() || seen[stage.Replica] {
			return false
		}
		seen[stage.Replica] = true
		next = stage.Layers.To
	}
	return next == span.To
}

// Crossings returns the number of hops between stages in different failure domains.
func (p Path) Crossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Domain != p[i-1].Domain {
			n++
		}
	}
	return n
}

// String formats the path for log lines: each replica with the layers that it runs, the
// last layer exclusive.
func (p Path) String() string {
	var b strings.Builder
	for i, stage := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%d-%d", stage.Replica, stage.Layers.From, stage.Layers.To)
	}
	return b.String()
}
