package poison

import (
	"slices"
	"time"
)

// answerTimes are the times of the last answers to requests with a part: of the last one that had gone
// on for ProvenAfter, and of the last complete one.
type answerTimes struct {
	begun, complete time.Time
	// begunHere is the number of answers that this node has seen begin.
	begunHere int
}

// answeredTable remembers the last answered parts in two generations, so that it stays small.
type answeredTable struct{ newer, older map[Part]answerTimes }

func (a *answeredTable) get(p Part) answerTimes {
	if times, ok := a.newer[p]; ok {
		return times
	}
	return a.older[p]
}

func (a *answeredTable) put(p Part, times answerTimes) {
	if a.newer == nil || len(a.newer) >= maxAnswered {
		a.older, a.newer = a.newer, map[Part]answerTimes{}
	}
	a.newer[p] = times
}

// serviceAnswers are the answers of a service, whatever their parts.
type serviceAnswers struct {
	// counts are those that this node has seen.
	counts answerCounts
	// begun and complete are the last ones that any node has seen.
	begun, complete recentAnswers
}

// answerCounts are the numbers of answers that have gone on for ProvenAfter, and of complete ones.
type answerCounts struct{ begun, complete int }

// recentAnswers are the last answers, minRecentAnswers at most.
type recentAnswers []recentAnswer

// recentAnswer is an answer at some node.
type recentAnswer struct {
	id uint64
	at time.Time
}

// since reports whether there are minRecentAnswers and all of them are later than a time.
func (r recentAnswers) since(after time.Time) bool {
	if len(r) < minRecentAnswers {
		return false
	}
	return !slices.ContainsFunc(r, func(each recentAnswer) bool { return !each.at.After(after) })
}

// add records an answer at some node. The latest ones are kept.
func (r *recentAnswers) add(added recentAnswer) {
	list := *r
	if slices.ContainsFunc(list, func(known recentAnswer) bool { return known.id == added.id }) {
		return
	}
	if len(list) < minRecentAnswers {
		*r = append(list, added)
		return
	}
	oldest := 0
	for i := range list {
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	if added.at.After(list[oldest].at) {
		list[oldest] = added
	}
}

// answersOf returns the answers of a service, to be changed.
func (t *Tracker) answersOf(service string) *serviceAnswers {
	a := t.answers[service]
	if a == nil {
		a = &serviceAnswers{}
		t.answers[service] = a
	}
	return a
}

// answerCounts counts the answers of a service that this node has seen.
func (t *Tracker) answerCounts(service string) answerCounts {
	if a := t.answers[service]; a != nil {
		return a.counts
	}
	return answerCounts{}
}

// answering reports whether the replicas of a service have answered enough requests lately.
func (t *Tracker) answering(now time.Time, service string) bool {
	return t.beginning(service, now.Add(-recentFor))
}

// beginning reports whether the replicas of a service have begun enough answers after a time.
func (t *Tracker) beginning(service string, after time.Time) bool {
	a := t.answers[service]
	return a != nil && a.begun.since(after)
}

// completing reports whether the replicas of a service have completed enough answers after a time.
func (t *Tracker) completing(service string, after time.Time) bool {
	a := t.answers[service]
	return a != nil && a.complete.since(after)
}

// shareServiceAnswers returns the recent answers of the services of some crashes.
func (t *Tracker) shareServiceAnswers(now time.Time, crashes []Crash) []ServiceAnswer {
	var list []ServiceAnswer
	for _, service := range servicesOf(crashes) {
		a := t.answers[service]
		if a == nil {
			continue
		}
		list = append(list, a.begun.share(now, service, false)...)
		list = append(list, a.complete.share(now, service, true)...)
	}
	return list[:min(len(list), MaxShared)]
}

func (r recentAnswers) share(now time.Time, service string, complete bool) []ServiceAnswer {
	var list []ServiceAnswer
	for _, each := range r {
		if age := now.Sub(each.at); age < recentFor {
			list = append(list, ServiceAnswer{Service: service, ID: each.id, Age: age, Complete: complete})
		}
	}
	return list
}

// servicesOf returns the services whose parts were exposed to crashes, in order.
func servicesOf(crashes []Crash) []string {
	var services []string
	for _, c := range crashes {
		for _, e := range c.Exposed {
			services = append(services, e.Part.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// mergeServiceAnswer takes an answer that another node tells. It reports whether the replicas of the
// service count as answering because of it, and did not before.
func (t *Tracker) mergeServiceAnswer(now time.Time, told ServiceAnswer) bool {
	if t.answers[told.Service] == nil && len(t.answers) >= maxServices {
		return false
	}
	a := t.answersOf(told.Service)
	added := recentAnswer{id: told.ID, at: now.Add(-told.Age)}
	if told.Complete {
		a.complete.add(added)
		return false
	}
	before := t.answering(now, told.Service)
	a.begun.add(added)
	return !before && t.answering(now, told.Service)
}
