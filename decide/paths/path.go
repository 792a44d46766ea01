package paths

import (
	"fmt"
	"strings"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Part is one replica's layers of a path.
type Part struct {
	Replica string
	Address string
	Domain  string
	Run     layers.Span
}

// Path runs through all layers, each once and in order.
type Path []Part

// Runs says whether the path runs each of the layers once and in order, with no
// replica twice. Engines check none of this.
func (p Path) Runs(span layers.Span) bool {
	at := span.From
	seen := make(map[string]bool, len(p))
	for _, part := range p {
		if part.Run.From != at || part.Run.Empty() || seen[part.Replica] {
			return false
		}
		seen[part.Replica] = true
		at = part.Run.To
	}
	return at == span.To
}

// Crossings is how often the path goes from one failure domain to another.
func (p Path) Crossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Domain != p[i-1].Domain {
			n++
		}
	}
	return n
}

// String is the path for log lines: each replica with its layers.
func (p Path) String() string {
	var b strings.Builder
	for i, part := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%d-%d", part.Replica, part.Run.From, part.Run.To)
	}
	return b.String()
}
