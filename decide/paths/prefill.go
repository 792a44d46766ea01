package paths

import "time"

// prefillCostFactor is what a millisecond for which a replica is still reading adds to its cost: at
// a tenth, the wait for a few prompts weighs as much as a usual path.
const prefillCostFactor = 0.1

// prefillBacklog is what a replica has been given to read by this node, in milliseconds.
type prefillBacklog struct {
	millis  float64
	updated time.Time
}

// remaining is how long it will still read.
func (p *prefillBacklog) remaining(now time.Time) float64 {
	return max(0, p.millis-float64(now.Sub(p.updated))/float64(time.Millisecond))
}

func (p *prefillBacklog) add(now time.Time, millis float64) {
	p.millis, p.updated = p.remaining(now)+millis, now
}

// newStages lists the parts of a path that read a request which ran along another one.
func newStages(path, previous Path) []Stage {
	var stages []Stage
	for _, stage := range path {
		kept := false
		for _, old := range previous {
			kept = kept || old.Replica == stage.Replica && old.Layers.Covers(stage.Layers)
		}
		if !kept {
			stages = append(stages, stage)
		}
	}
	return stages
}

// PrefillWait is how long the slowest new part of a path takes until it has read a request
// that ran along another path, behind what this node has given it before. nodes is how
// many are in the same case: what strikes one node's streams strikes all alike.
func (s *Selector) PrefillWait(now time.Time, path, previous Path, tokens float64, nodes int) time.Duration {
	slowest := 0.0
	for _, stage := range newStages(path, previous) {
		if n, ok := s.replicas[stage.Replica]; ok {
			own := tokens * float64(stage.Layers.Len()) * n.PrefillMillis
			slowest = max(slowest, n.prefill.remaining(now)+own*float64(max(1, nodes)))
		}
	}
	return time.Duration(slowest * float64(time.Millisecond))
}

// AddPrefill notes that the new parts of a path are given a request to read.
func (s *Selector) AddPrefill(now time.Time, path, previous Path, tokens float64, nodes int) {
	for _, stage := range newStages(path, previous) {
		if n, ok := s.replicas[stage.Replica]; ok {
			n.prefill.add(now, tokens*float64(stage.Layers.Len())*n.PrefillMillis*float64(max(1, nodes)))
		}
	}
}
