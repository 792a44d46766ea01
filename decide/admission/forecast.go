package admission

import (
	"math"
	"time"
)

const (
	// maxShortPart is the most of the slots that is kept free of long jobs.
	maxShortPart = 0.5
	// headroomPart is the most of the slots that is kept for teams below
	// their share. It bounds what this may cost in throughput.
	headroomPart = 1.0 / 20
	// headroomSpread is how many square roots of the slots that those teams fill
	// are kept. With one, and 1/24 of the slots, the heaviest case missed 1.2
	// times the first token of a team alone with two of ten seeds, at 1.49; with
	// 1.15 and 1/22 at 1.33; so it is 1.01, for another 1% of the throughput.
	headroomSpread = 1.3
	// hotFactor is how many times its share by weight a hot team asks for.
	// Below it, chance makes a team look hot, and headroom would stand idle
	// for nothing.
	hotFactor = 1.5
	// rushRoom is the part of the slots that is kept, at the start of a rush, for
	// teams below their share, with what these run counted in. A team that asks for
	// ten times the bound takes all slots in a second and a half, and with answers of
	// fifteen seconds the others wait until the first of these ends.
	rushRoom = 1.0 / 3
	// lightest is the demand, in tokens per second, below which a team counts
	// as gone. A request of 300 tokens is remembered for half a minute.
	lightest = 1
)

// forecast holds the rates that the teams are expected to get, in expected
// tokens per second. It is worked out anew each TickInterval.
type forecast struct {
	at    time.Time
	drain float64 // of the whole service
	// weight is that of the teams that have asked for work lately.
	weight float64
	// began is when teams began to ask for work, after a time without.
	began time.Time
	// headroom is the number of slots kept for teams below their share.
	headroom int
	stalled  bool
	all      level
	long     level // of long jobs, through their slots
}

// level is a weighted max-min split of a capacity by demand: each team gets
// what it asks for, up to its weight times perWeight.
//
// The teams that wait at one moment are a poor guide: one whose queue is empty
// now sends its next request within the wait that is to be predicted. Callers
// were then admitted and given up seconds later.
type level struct {
	perWeight float64
	spare     float64 // what nobody asks for
	floor     float64 // per weight, if all teams ask for more than they get
}

// rate returns what a team gets that has work waiting all the time.
func (l level) rate(demand, weight float64) float64 {
	if l.spare > 0 {
		return max(demand+l.spare, weight*l.floor)
	}
	return weight * l.perWeight
}

// split works the level out. Demand gives a team's demand.
func split(capacity float64, teams []*team, demand func(*team) float64) level {
	weight := 0.0
	for _, t := range teams {
		if demand(t) > 0 {
			weight += t.flow.Weight()
		}
	}
	if weight == 0 {
		return level{spare: capacity, floor: capacity}
	}
	l := level{floor: capacity / weight, perWeight: capacity / weight}
	for {
		left, open := capacity, 0.0
		for _, t := range teams {
			d := demand(t)
			if d > t.flow.Weight()*l.perWeight {
				open += t.flow.Weight()
			} else {
				left -= d
			}
		}
		if open == 0 {
			l.spare = max(left, 0)
			return l
		}
		higher := left / open
		if higher <= l.perWeight*(1+1e-9) {
			return l
		}
		l.perWeight = higher
	}
}

// refresh works the forecast out if it is older than TickInterval.
func (q *Queue) refresh(now time.Time) {
	if age := now.Sub(q.forecast.at); age < TickInterval && !q.forecast.at.IsZero() {
		return
	}
	q.renew(now)
}

func (q *Queue) renew(now time.Time) {
	rate := q.meter.slotRate(now)
	f := &q.forecast
	f.at = now
	f.drain = rate * q.share.meanAt(now)
	f.stalled = q.meter.stalled(now)
	q.longRoom = q.slots
	q.measureDemand(now)
	f.weight = q.activeWeight()
	f.headroom = q.rushHeadroom(now)
	if f.drain <= 0 {
		return
	}
	f.all = split(f.drain, q.order, func(t *team) float64 { return t.demand[short] + t.demand[long] })
	for _, t := range q.order {
		t.rate = f.all.rate(t.demand[short]+t.demand[long], t.flow.Weight())
	}
	q.longRoom = q.slots - q.shortRoom(rate)
	f.headroom = max(f.headroom, q.lightHeadroom(rate))
	f.long = split(rate*float64(q.longRoom), q.order, func(t *team) float64 { return t.demand[long] })
	for _, t := range q.order {
		t.longRate = f.long.rate(t.demand[long], t.flow.Weight())
	}
}

// measureDemand also forgets teams that SetTeam has not named and whose demand
// has faded, so that names which come and go do not add up.
//
// If demand has just risen, each team's is taken to have risen alike: what a team
// gets depends on what the others ask for.
func (q *Queue) measureDemand(now time.Time) {
	sum := 0.0
	for i := len(q.order) - 1; i >= 0; i-- {
		t := q.order[i]
		for l := range t.demand {
			t.demand[l] = t.offered[l].perSecond(now)
			if t.demand[l] < lightest {
				t.demand[l] = 0
			}
			sum += t.demand[l]
		}
		if !t.declared && t.demand == [lengthCount]float64{} {
			q.forget(t)
		}
	}
	boost := q.step.boost(now, sum)
	for _, t := range q.order {
		for l := range t.demand {
			t.demand[l] *= boost
		}
	}
}

// shortRoom returns how many slots to keep free of long jobs: as many as the
// offered short work fills, and its square root to ride out chance (the
// square-root rule of staffing).
//
// Without room of its own a short job that comes when long ones hold all slots
// waits for the first of them to end. Each team's short work counts only up to
// its part of the slots, or a team could push the long jobs of others out by
// flooding with short ones. Where nobody sends short jobs, nothing is kept.
func (q *Queue) shortRoom(rate float64) int {
	need := 0.0
	for _, t := range q.order {
		need += min(t.demand[short], t.rate) / rate
	}
	keep := math.Ceil(need + math.Sqrt(need))
	return int(min(keep, math.Floor(float64(q.slots)*maxShortPart)))
}

// activeWeight returns the weight of the teams that ask for work.
func (q *Queue) activeWeight() (weight float64) {
	for _, t := range q.order {
		if t.demand[short]+t.demand[long] > 0 {
			weight += t.flow.Weight()
		}
	}
	return weight
}

// rushHeadroom returns how many slots to keep for teams below their share while a
// rush is so young that their demand is not known: what these run not of rushRoom,
// which shrinks to nothing over the window of the measured demand.
//
// Without it a node that starts in a rush gives every slot to the hottest team
// before the others have sent what they need, and has none to give them until its
// answers end: callers of other teams waited for two to four seconds (p95).
func (q *Queue) rushHeadroom(now time.Time) int {
	f := &q.forecast
	if f.weight == 0 {
		f.began = time.Time{}
		return 0
	}
	if f.began.IsZero() {
		f.began = now
	}
	left := 1 - now.Sub(f.began).Seconds()/rateWindow.Seconds()
	if left <= 0 {
		return 0
	}
	keep := float64(q.slots) * rushRoom * left
	for _, t := range q.order {
		if q.belowShare(t) {
			keep -= float64(t.running)
		}
	}
	return int(max(keep, 0))
}

// lightHeadroom returns how many slots to keep for teams that ask for less than
// their share: the square root of what these fill, up to headroomPart. Unless a
// team is hot, none are kept.
//
// Without headroom, a hot team holds every slot, and the first request of
// another waits until one is done. With long answers and few slots that is a
// good part of a second, which the hot team causes and the other one pays.
func (q *Queue) lightHeadroom(rate float64) int {
	need := 0.0
	hot := false
	for _, t := range q.order {
		demand := t.demand[short] + t.demand[long]
		if demand == 0 {
			continue
		}
		if demand <= t.rate {
			need += demand / rate
		}
		hot = hot || demand > hotFactor*q.forecast.all.floor*t.flow.Weight()
	}
	if !hot {
		return 0
	}
	keep := math.Ceil(headroomSpread * math.Sqrt(need))
	return int(min(keep, math.Floor(float64(q.slots)*headroomPart)))
}

// belowShare tells whether the team runs less than its part of the slots.
func (q *Queue) belowShare(t *team) bool {
	weight := t.flow.Weight()
	return float64(t.running)*max(q.forecast.weight, weight) < float64(q.slots)*weight
}
