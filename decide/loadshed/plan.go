package loadshed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// horizon is the time in which the decisions of one node become visible to the others: two
	// exchanges.
	horizon = 600 * time.Millisecond
	// minAdmittedShare and maxAdmittedShare bound the admitted rate, as a share of the
	// capacity. The upper bound limits the overshoot when the replicas have caught up.
	minAdmittedShare = 0.1
	maxAdmittedShare = 1.25
	// urgentShare of the capacity is admitted of the more urgent priorities, whatever waits of
	// less urgent ones, if they ask for at most fitsShare of it. Both differ from 1 because the
	// figures vary; what the demand is compared with is averaged over demandSmoothing.
	urgentShare     = 0.97
	fitsShare       = 1.1
	demandSmoothing = 2 * time.Second
	// raiseShare of the capacity is the least by which the admitted rate exceeds the capacity if no
	// request awaits its first event. It falls in proportion to the awaiting requests, and is zero
	// at the target.
	raiseShare = 0.5
	// minAdmittedPerSecond is admitted even if no replica answers, to find out when one does.
	minAdmittedPerSecond = 1.0
	// reservedShare is the share of the admitted rate that each priority gets if it asks for
	// it, so that none starves. All reserves together are at most maxReservedShare: the most
	// urgent priority must keep 0.95 of its requests.
	reservedShare    = 0.02
	maxReservedShare = 0.04
)

// admittedRate returns the requests per second to admit while the service is saturated, so
// that the wait returns to the target within the horizon. A few awaiting requests above the target
// are no reason to admit less, because the number varies by chance. Below the target the rate rises
// sooner, because there the replicas may be idle.
func admittedRate(capacity, awaiting float64, target time.Duration) float64 {
	explained := target.Seconds() * capacity
	room := explained - awaiting
	rate := capacity + room/horizon.Seconds()
	if room < 0 {
		rate = capacity + min(0, room+min(math.Sqrt(explained), surplusAwaiting))/horizon.Seconds()
	} else if explained > 0 {
		rate = max(rate, capacity*(1+raiseShare*room/explained))
	}
	rate = min(max(rate, minAdmittedShare*capacity), maxAdmittedShare*capacity)
	return max(rate, minAdmittedPerSecond)
}

// plan says which fraction of each class is admitted.
type plan struct {
	// demands and rates hold the requests per second that callers send of each priority, and
	// those that are admitted; demand is the sum of the demands.
	demands, rates [MaxPriority + 1]float64
	demand         float64
	// deferred holds the requests of each priority whose time to return has not come.
	deferred [MaxPriority + 1]float64
	// smoothed are the demands averaged over demandSmoothing.
	smoothed [MaxPriority + 1]float64
	// levels holds the largest rate per team within each priority. A team that asks for less is
	// admitted whole.
	levels [MaxPriority + 1]float64
	// teams holds the demands of the teams of each priority. It is kept to be used again.
	teams [MaxPriority + 1][]teamDemand
}

// teamDemand is some teams that ask for the same rate.
type teamDemand struct{ perTeam, teams float64 }

// sumUp adds up the demand by priority.
func (p *plan) sumUp(classes map[Class]Demand) {
	p.demand = 0
	for priority := range p.teams {
		p.teams[priority] = p.teams[priority][:0]
		p.demands[priority], p.deferred[priority] = 0, 0
	}
	for class, d := range classes {
		p.demand += d.Arrivals
		p.demands[class.Priority] += d.Arrivals
		p.deferred[class.Priority] += d.Deferred
		p.teams[class.Priority] = append(p.teams[class.Priority], teamDemand{d.perTeam(), max(1, d.Teams)})
	}
}

// resetSmoothed starts the averages at zero. A priority therefore counts as fitting until its
// averaged demand shows that it does not. The limit of its backlog bounds the cost of this.
func (p *plan) resetSmoothed() { p.smoothed = [MaxPriority + 1]float64{} }

// smooth brings the averages up to date, elapsed after the last time.
func (p *plan) smooth(elapsed time.Duration) {
	change := -math.Expm1(-elapsed.Seconds() / demandSmoothing.Seconds())
	for priority, demand := range p.demands {
		p.smoothed[priority] += (demand - p.smoothed[priority]) * change
	}
}

// divide divides an admitted rate between the classes. Requests of less urgent priorities that
// wait at the replicas do not delay more urgent ones. The latter are therefore admitted whole if
// they fit urgentShare of the capacity, or else up to it, as long as they have no backlog above
// the limit themselves.
func (p *plan) divide(admitted, capacity, backlogLimit float64, backlogs *[MaxPriority + 1]float64) {
	reserve := admitted * p.reservedShare()
	reserved := 0.0
	for _, demand := range p.demands {
		reserved += min(demand, reserve)
	}
	asked, smoothed, given := 0.0, 0.0, reserved
	for priority, demand := range p.demands {
		asked += demand
		smoothed += p.smoothed[priority]
		limit := admitted
		if asked < p.demand && smoothed <= fitsShare*capacity && backlogs[priority] <= backlogLimit {
			limit = max(limit, urgentShare*capacity)
			if smoothed <= urgentShare*capacity {
				limit = max(limit, reserved+asked)
			}
		}
		own := min(demand, reserve)
		more := min(demand-own, max(0, limit-given))
		given += more
		p.rates[priority] = own + more
		p.levels[priority] = maxMinLevel(p.rates[priority], p.teams[priority])
	}
}

// reservedShare returns the share of the admitted rate that is reserved for each priority.
func (p *plan) reservedShare() float64 {
	asking := 0
	for _, demand := range p.demands {
		if demand > 0 {
			asking++
		}
	}
	return min(reservedShare, maxReservedShare/float64(max(1, asking-1)))
}

// maxMinLevel returns the largest level for which the demands, each cut at the level, add up to
// at most the rate. It sorts the demands.
func maxMinLevel(rate float64, demands []teamDemand) float64 {
	slices.SortFunc(demands, func(a, b teamDemand) int { return cmp.Compare(a.perTeam, b.perTeam) })
	teams := 0.0
	for _, d := range demands {
		teams += d.teams
	}
	for _, d := range demands {
		if level := rate / teams; d.perTeam > level {
			return level
		}
		rate -= d.perTeam * d.teams
		teams -= d.teams
	}
	return maxFigure
}

// rate returns the requests per second of a team that are admitted.
func (p *plan) rate(class Class, arrivals float64) float64 {
	return min(arrivals, p.levels[class.Priority])
}
