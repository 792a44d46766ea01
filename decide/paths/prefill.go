package paths

import "time"

// prefillCostFactor is what each millisecond of a replica's prefill backlog adds to its
// cost. At 0.1 the wait for a few prompts weighs as much as a usual path.
const prefillCostFactor = 0.1

// prefillBacklog is the prefill work, in milliseconds, that this node has sent to a
// replica.
type prefillBacklog struct {
	pendingMillis float64
	updated       time.Time
}

// remaining returns the milliseconds of work that are not done yet.
func (p *prefillBacklog) remaining(now time.Time) float64 {
	return max(0, p.pendingMillis-float64(now.Sub(p.updated))/float64(time.Millisecond))
}

func (p *prefillBacklog) add(now time.Time, millis float64) {
	p.pendingMillis, p.updated = p.remaining(now)+millis, now
}

// newStages returns the stages of a path that must prefill a request which ran along
// another path before.
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

// PrefillWait returns how long the slowest new stage of a path takes to prefill a
// request that ran along another path, behind the backlog from this node. nodes is the
// number of nodes whose streams are affected in the same way: a lost replica affects the
// streams of all nodes alike, and each sends as much work as this one.
func (s *Selector) PrefillWait(now time.Time, path, previous Path, tokens float64, nodes int) time.Duration {
	slowestMillis := 0.0
	for _, stage := range newStages(path, previous) {
		if r, ok := s.replicas[stage.Replica]; ok {
			requestMillis := tokens * float64(stage.Layers.Len()) * r.PrefillMillis
			slowestMillis = max(slowestMillis, r.prefill.remaining(now)+requestMillis*float64(max(1, nodes)))
		}
	}
	return time.Duration(slowestMillis * float64(time.Millisecond))
}

// AddPrefill adds the prefill of a request to the backlog of the new stages of its path.
func (s *Selector) AddPrefill(now time.Time, path, previous Path, tokens float64, nodes int) {
	for _, stage := range newStages(path, previous) {
		if r, ok := s.replicas[stage.Replica]; ok {
			r.prefill.add(now, tokens*float64(stage.Layers.Len())*r.PrefillMillis*float64(max(1, nodes)))
		}
	}
}
