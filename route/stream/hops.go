package stream

import (
	"slices"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// hopTimes adds up the span times of each stage over the tokens of an epoch.
type hopTimes struct {
	endpoints   []string
	totalMicros []int64
	tokens      int64
}

func (h *hopTimes) add(spans []engineapi.Span) {
	if h.endpoints == nil {
		for i := range spans {
			h.endpoints = append(h.endpoints, spans[i].Endpoint)
		}
		h.totalMicros = make([]int64, len(spans))
	}
	if len(spans) != len(h.totalMicros) {
		return
	}
	for i := range spans {
		h.totalMicros[i] += spanMicros(spans[i])
	}
	h.tokens++
}

func (h *hopTimes) means() []Hop {
	if h.tokens == 0 {
		return nil
	}
	hops := make([]Hop, len(h.endpoints))
	for i, name := range h.endpoints {
		hops[i] = Hop{Endpoint: name, MeanMicros: float64(h.totalMicros[i]) / float64(h.tokens)}
	}
	return slices.Clip(hops)
}
