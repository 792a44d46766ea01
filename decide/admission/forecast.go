package admission

import (
	"math"
	"time"
)

const (
	// maxShortReserveFraction is the largest fraction of the slots that shortReserve keeps
	// free of long jobs.
	maxShortReserveFraction = 0.5
	// maxLowDemandHeadroomFraction is the largest fraction of the slots that
	// lowDemandHeadroom keeps for teams below their share. It bounds the throughput that is
	// lost to this headroom.
	maxLowDemandHeadroomFraction = 1.0 / 20
	// headroomPerSqrtSlots is the ratio of the slots that lowDemandHeadroom keeps to the
	// square root of the slots that low-demand teams fill. TestHotCaller compares the time
	// to first token (95th percentile) of a low-demand team beside a hot team with the time
	// without the hot team. The ratio of these two times must be at most 1.2.
	//
	// In the heaviest case this ratio is 1.01 with the factor 1.3 and 1/20 of the slots.
	// With the factor 1 and 1/24 of the slots, two of ten seeds exceeded 1.2, with a ratio
	// of up to 1.49. With the factor 1.15 and 1/22 of the slots, the ratio was 1.33. The
	// higher factor costs 1% more of the throughput.
	headroomPerSqrtSlots = 1.3
	// hotDemandRatio is the ratio of a team's demand to its share by weight above which the
	// team is hot. With a lower ratio, random changes of the load would make a team look
	// hot, and headroom would be kept without need.
	hotDemandRatio = 1.5
	// rushHeadroomFraction is the fraction of the slots that is kept for teams below their
	// share at the start of a rush. The slots that these teams already use count as a part
	// of it. Without this headroom, a team that offers ten times the capacity takes all
	// slots within 1.5 s. If the responses of this team take 15 s, the other teams wait
	// until the first of these responses ends.
	rushHeadroomFraction = 1.0 / 3
	// minDemand is the demand, in tokens per second, below which a team counts as having no
	// demand. With this value, one request of 300 tokens counts as demand for half a
	// minute.
	minDemand = 1
)

// forecast holds the rates at which the requests of the teams are expected to be served, in
// expected tokens per second. It is recomputed at least every TickInterval while requests
// are offered or wait.
type forecast struct {
	computedAt time.Time
	drainRate  float64 // of all slots of this node, expected tokens per second
	// weightWithDemand is the sum of the weights of the teams with recent demand.
	weightWithDemand float64
	// busySince is the start of the current period with demand; zero without demand.
	busySince time.Time
	// headroom is the number of slots kept free for teams below their share.
	headroom           int
	stalled            bool
	allJobsAllocation  allocation // divides the drain rate between the teams by the demand of all their requests
	longJobsAllocation allocation // divides the drain rate of the longJobSlots between the teams by the demand of their long jobs
}

// allocation divides a capacity between the teams by weighted max-min fairness: each team
// gets its demand, up to its weight times ratePerWeight. The capacity and all rates are in
// expected tokens per second.
//
// The demand is the measured demand of all teams, also of teams that have no waiting
// request now. Such a team may send its next request within the predicted wait. If these
// teams were left out, requests would be admitted and refused seconds later.
type allocation struct {
	ratePerWeight      float64
	spareRate          float64 // part of the capacity that exceeds the total demand; zero if a team gets less than its demand
	equalRatePerWeight float64 // capacity divided by the total weight of the teams with demand
}

// rate returns the rate that a team with the given demand and weight gets if it always has
// a request waiting.
func (a allocation) rate(demand, weight float64) float64 {
	if a.spareRate > 0 {
		return max(demand+a.spareRate, weight*a.equalRatePerWeight)
	}
	return weight * a.ratePerWeight
}

// allocate divides the capacity, in expected tokens per second, between the teams. demand
// returns the demand of a team in the same unit.
func allocate(capacity float64, teams []*team, demand func(*team) float64) allocation {
	totalWeight := 0.0
	for _, t := range teams {
		if demand(t) > 0 {
			totalWeight += t.flow.Weight()
		}
	}
	if totalWeight == 0 {
		return allocation{spareRate: capacity, equalRatePerWeight: capacity}
	}
	a := allocation{equalRatePerWeight: capacity / totalWeight, ratePerWeight: capacity / totalWeight}
	for {
		remainingCapacity, unsatisfiedWeight := capacity, 0.0
		for _, t := range teams {
			teamDemand := demand(t)
			if teamDemand > t.flow.Weight()*a.ratePerWeight {
				unsatisfiedWeight += t.flow.Weight()
			} else {
				remainingCapacity -= teamDemand
			}
		}
		if unsatisfiedWeight == 0 {
			a.spareRate = max(remainingCapacity, 0)
			return a
		}
		higherRatePerWeight := remainingCapacity / unsatisfiedWeight
		if higherRatePerWeight <= a.ratePerWeight*(1+1e-9) {
			return a
		}
		a.ratePerWeight = higherRatePerWeight
	}
}

// recomputeForecastIfStale recomputes the forecast if it is at least TickInterval old.
func (q *Queue) recomputeForecastIfStale(now time.Time) {
	if age := now.Sub(q.forecast.computedAt); age < TickInterval && !q.forecast.computedAt.IsZero() {
		return
	}
	q.recomputeForecast(now)
}

func (q *Queue) recomputeForecast(now time.Time) {
	slotRate := q.slotRate(now)
	f := &q.forecast
	f.computedAt = now
	f.drainRate = slotRate * q.nodeSlots.meanAt(now)
	f.stalled = q.meter.stalled(q.silence.slotTime(now))
	q.longJobSlots = q.slots
	q.measureDemand(now)
	f.weightWithDemand = q.weightWithDemand()
	f.headroom = q.rushHeadroom(now)
	if f.drainRate <= 0 {
		return
	}
	f.allJobsAllocation = allocate(f.drainRate, q.teamList, func(t *team) float64 { return t.demand[short] + t.demand[long] })
	for _, t := range q.teamList {
		t.forecastRate = f.allJobsAllocation.rate(t.demand[short]+t.demand[long], t.flow.Weight())
	}
	q.longJobSlots = q.slots - q.shortReserve(slotRate)
	f.headroom = max(f.headroom, q.lowDemandHeadroom(slotRate))
	f.longJobsAllocation = allocate(slotRate*float64(q.longJobSlots), q.teamList, func(t *team) float64 { return t.demand[long] })
	for _, t := range q.teamList {
		t.longJobForecastRate = f.longJobsAllocation.rate(t.demand[long], t.flow.Weight())
	}
}

// measureDemand updates the demand of each team. The measured demand lags behind a sudden
// rise. After a rise of the total demand, each team's demand is therefore multiplied by the
// same factor: a team's forecast rate also depends on the other teams' demand.
//
// measureDemand also removes the teams that have no demand any more and for which SetTeam
// was not called. Otherwise team names that are used only once would accumulate.
func (q *Queue) measureDemand(now time.Time) {
	totalDemand := 0.0
	for i := len(q.teamList) - 1; i >= 0; i-- {
		t := q.teamList[i]
		for l := range t.demand {
			t.demand[l] = t.offeredWork[l].perSecond(now)
			if t.demand[l] < minDemand {
				t.demand[l] = 0
			}
			totalDemand += t.demand[l]
		}
		if !t.configured && t.demand == [jobLengthCount]float64{} {
			q.removeIfIdle(t)
		}
	}
	riseFactor := q.demandStep.riseFactor(now, totalDemand)
	for _, t := range q.teamList {
		for l := range t.demand {
			t.demand[l] *= riseFactor
		}
	}
}

// shortReserve returns the number of slots to keep free of long jobs. This is the number of
// slots that the demand of short requests fills, plus the square root of that number for
// random variation (square-root staffing).
//
// Without this reserve, a short request that arrives while long jobs hold all slots waits
// until the first long job ends. A team's demand of short requests counts only up to the
// team's forecast rate. Otherwise a team could displace the long jobs of other teams by
// sending many short requests.
func (q *Queue) shortReserve(slotRate float64) int {
	neededSlots := 0.0
	for _, t := range q.teamList {
		neededSlots += min(t.demand[short], t.forecastRate) / slotRate
	}
	reserve := math.Ceil(neededSlots + math.Sqrt(neededSlots))
	return int(min(reserve, math.Floor(float64(q.slots)*maxShortReserveFraction)))
}

// weightWithDemand returns the sum of the weights of the teams with demand.
func (q *Queue) weightWithDemand() (weight float64) {
	for _, t := range q.teamList {
		if t.demand[short]+t.demand[long] > 0 {
			weight += t.flow.Weight()
		}
	}
	return weight
}

// rushHeadroom returns the number of slots to keep for teams below their share at the start
// of a rush, while the demand of these teams is not yet measured. It starts at
// rushHeadroomFraction of the slots and falls to zero over rateTimeConstant. The slots that
// these teams already use are subtracted.
//
// Without this headroom, a node that starts in a rush gives every slot to the team with the
// highest load before the other teams have sent their requests. The other teams then get no
// slot until the first responses end. The 95th percentile of their waits was two to four
// seconds.
func (q *Queue) rushHeadroom(now time.Time) int {
	f := &q.forecast
	if f.weightWithDemand == 0 {
		f.busySince = time.Time{}
		return 0
	}
	if f.busySince.IsZero() {
		f.busySince = now
	}
	remainingFraction := 1 - now.Sub(f.busySince).Seconds()/rateTimeConstant.Seconds()
	if remainingFraction <= 0 {
		return 0
	}
	reserve := float64(q.slots) * rushHeadroomFraction * remainingFraction
	for _, t := range q.teamList {
		if q.belowShare(t) {
			reserve -= float64(t.runningCount)
		}
	}
	return int(max(reserve, 0))
}

// lowDemandHeadroom returns the number of slots to keep for teams whose demand is at most
// their forecast rate. This is headroomPerSqrtSlots times the square root of the number of
// slots that these teams fill, up to maxLowDemandHeadroomFraction of all slots. If no team
// is hot, no slot is kept.
//
// Without this headroom, a hot team holds every slot, and the first request of another team
// waits until a request of the hot team finishes. With long responses and few slots, this
// wait is a large part of a second.
func (q *Queue) lowDemandHeadroom(slotRate float64) int {
	neededSlots := 0.0
	anyHot := false
	for _, t := range q.teamList {
		demand := t.demand[short] + t.demand[long]
		if demand == 0 {
			continue
		}
		if demand <= t.forecastRate {
			neededSlots += demand / slotRate
		}
		anyHot = anyHot || demand > hotDemandRatio*q.forecast.allJobsAllocation.equalRatePerWeight*t.flow.Weight()
	}
	if !anyHot {
		return 0
	}
	reserve := math.Ceil(headroomPerSqrtSlots * math.Sqrt(neededSlots))
	return int(min(reserve, math.Floor(float64(q.slots)*maxLowDemandHeadroomFraction)))
}

// belowShare reports whether the team uses fewer slots than its share by weight. The share
// is the node's slots divided between the teams with demand in proportion to their weights.
func (q *Queue) belowShare(t *team) bool {
	weight := t.flow.Weight()
	return float64(t.runningCount)*max(q.forecast.weightWithDemand, weight) < float64(q.slots)*weight
}
