package admission

import (
	"fmt"
	"time"
)

func (q *Queue) Probe(now time.Time) string {
	d := 0.0
	s := ""
	for _, t := range q.order {
		d += t.demand[short] + t.demand[long]
		s += fmt.Sprintf(" %s:%.0f/%.0f/%.0f", t.name[5:], t.demand[0], t.rate, t.waiting[Interactive].lists[short].cost)
	}
	return fmt.Sprintf("mean %.1f rate %.1f demand %.0f spare %.0f head %d %s", q.share.meanAt(now), q.meter.slotRate(now), d, q.forecast.all.spare, q.forecast.headroom, s)
}
