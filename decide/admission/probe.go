package admission

import (
	"fmt"
	"time"
)

// Probe returns the forecast of the queue in one line, for debugging.
func (q *Queue) Probe(now time.Time) string {
	totalDemand := 0.0
	teamStates := ""
	for _, t := range q.teamList {
		totalDemand += t.demand[short] + t.demand[long]
		teamStates += fmt.Sprintf(" %s:%.0f/%.0f/%.0f", t.name[5:], t.demand[0], t.forecastRate, t.queues[Interactive].lists[short].totalCost)
	}
	return fmt.Sprintf("mean %.1f rate %.1f demand %.0f spare %.0f head %d %s", q.nodeSlots.meanAt(now), q.slotRate(now), totalDemand, q.forecast.allJobsAllocation.spareRate, q.forecast.headroom, teamStates)
}
