package stream

import (
	"slices"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// hopTimes sums the span times of each stage over an epoch.
type hopTimes struct {
	names []string
	sums  []int64
	count int64
}

func (h *hopTimes) add(spans []engineapi.Span) {
	if h.names == nil {
		for i := range spans {
			h.names = append(h.names, spans[i].Endpoint)
		}
		h.sums = make([]int64, len(spans))
	}
	if len(spans) != len(h.sums) {
		return
	}
	for i := range spans {
		h.sums[i] += spans[i].Micros
	}
	h.count++
}

func (h *hopTimes) means() []Hop {
	if h.count == 0 {
		return nil
	}
	hops := make([]Hop, len(h.names))
	for i, name := range h.names {
		hops[i] = Hop{Endpoint: name, Micros: float64(h.sums[i]) / float64(h.count)}
	}
	return slices.Clip(hops)
}
