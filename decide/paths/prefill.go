package paths

import "time"

// prefillCostFactor is the cost that a replica's prefill backlog adds to a stage on this
// replica, as a fraction of the time of the backlog. At 0.1 the wait for the prefill of a
// few prompts costs as much as a usual path.
const prefillCostFactor = 0.1

// prefillBacklog is the prefill work that this node has sent to a replica and that the replica
// has not done yet. The node estimates it from the prefill times of the requests.
type prefillBacklog struct {
	pendingMillis float64 // prefill work not done yet at updatedAt
	updatedAt     time.Time
}

// remaining returns the prefill work that is not done yet, in milliseconds.
func (p *prefillBacklog) remaining(now time.Time) float64 {
	return max(0, p.pendingMillis-float64(now.Sub(p.updatedAt))/float64(time.Millisecond))
}

func (p *prefillBacklog) add(now time.Time, millis float64) {
	p.pendingMillis, p.updatedAt = p.remaining(now)+millis, now
}

// newStages returns the stages of a path that must prefill a request which comes from the
// previous path. A stage needs no prefill if its replica ran all layers of the stage on the
// previous path too.
func newStages(path, previous Path) []Stage {
	var stages []Stage
	for _, stage := range path {
		ranBefore := false
		for _, previousStage := range previous {
			ranBefore = ranBefore || previousStage.Replica == stage.Replica && previousStage.Layers.Covers(stage.Layers)
		}
		if !ranBefore {
			stages = append(stages, stage)
		}
	}
	return stages
}

// PrefillWait returns the time until all new stages of a path have prefilled a request that
// comes from the previous path. The time includes the prefill backlog from this node.
// tokens is the number of tokens to prefill. nodeCount is the number of nodes that send the
// same amount of prefill: a lost replica affects the streams of all nodes alike.
func (s *Selector) PrefillWait(now time.Time, path, previous Path, tokens float64, nodeCount int) time.Duration {
	slowestMillis := 0.0
	for _, stage := range newStages(path, previous) {
		if r, ok := s.replicas[stage.Replica]; ok {
			requestMillis := tokens * float64(stage.Layers.Len()) * r.PrefillMillis
			slowestMillis = max(slowestMillis, r.prefill.remaining(now)+requestMillis*float64(max(1, nodeCount)))
		}
	}
	return time.Duration(slowestMillis * float64(time.Millisecond))
}

// AddPrefill adds the prefill of a request to the backlogs of the replicas that run the new
// stages of its path. The parameters are those of PrefillWait.
func (s *Selector) AddPrefill(now time.Time, path, previous Path, tokens float64, nodeCount int) {
	for _, stage := range newStages(path, previous) {
		if r, ok := s.replicas[stage.Replica]; ok {
			r.prefill.add(now, tokens*float64(stage.Layers.Len())*r.PrefillMillis*float64(max(1, nodeCount)))
		}
	}
}
