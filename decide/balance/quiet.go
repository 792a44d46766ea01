package balance

import (
	"container/list"
	"slices"
	"time"
)

// Quiet orders endpoints by when they were last heard of, the longest ago first.
// A node asks the first for its load, 16 times a second: with a scan of all the
// processor time of an idle node grew with the replicas. Replicas that are asked
// for their cache events are kept in the same way. The zero value holds no
// endpoint.
type Quiet struct {
	byTime list.List // of *quietPlace
	places map[string]*list.Element
}

type quietPlace struct {
	endpoint string
	heard    time.Time
}

func placeOf(e *list.Element) *quietPlace { return e.Value.(*quietPlace) }

// Set replaces the endpoints. Those in it before keep their times; newcomers
// have never been heard of.
func (q *Quiet) Set(endpoints []string) {
	old := q.places
	q.places = make(map[string]*list.Element, len(endpoints))
	places := make([]*quietPlace, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if _, twice := q.places[endpoint]; twice {
			continue
		}
		q.places[endpoint] = nil
		p := &quietPlace{endpoint: endpoint}
		if before := old[endpoint]; before != nil {
			p = placeOf(before)
		}
		places = append(places, p)
	}
	slices.SortStableFunc(places, func(a, b *quietPlace) int { return a.heard.Compare(b.heard) })
	q.byTime.Init()
	for _, p := range places {
		q.places[p.endpoint] = q.byTime.PushBack(p)
	}
}

// Heard notes that an endpoint told its load, or is being asked for it, so that
// one which does not answer is not asked over and over before the others.
func (q *Quiet) Heard(endpoint string, at time.Time) {
	e := q.places[endpoint]
	if e == nil || at.Before(placeOf(e).heard) {
		return
	}
	placeOf(e).heard = at
	q.byTime.MoveToBack(e)
	// Times come nearly in order: few steps, mostly none.
	for before := e.Prev(); before != nil && placeOf(before).heard.After(at); before = e.Prev() {
		q.byTime.MoveBefore(e, before)
	}
}

// Has says whether an endpoint is among those of the last Set.
func (q *Quiet) Has(endpoint string) bool { return q.places[endpoint] != nil }

// HalfRound says whether an endpoint was heard of at least half a round ago, a
// round being as many turns as there are endpoints. A question that can be put
// along with another one at no cost is put then.
func (q *Quiet) HalfRound(endpoint string, now time.Time, pause time.Duration) bool {
	e := q.places[endpoint]
	if e == nil {
		return false
	}
	round := time.Duration(q.byTime.Len()) * pause
	return now.Sub(placeOf(e).heard) >= round/2
}

// First returns the endpoint that was heard of longest ago, and when; never is
// the zero time.
func (q *Quiet) First() (endpoint string, heard time.Time, ok bool) {
	first := q.byTime.Front()
	if first == nil {
		return "", time.Time{}, false
	}
	return placeOf(first).endpoint, placeOf(first).heard, true
}

// Due says whether one must be asked now, of turns that come a pause apart, for
// each to be heard of once in as many turns as there are endpoints.
//
// Load pattern answered: answers to requests, and to questions for cache events,
// bring load as well. Questions that are asked all the same tell nothing new and
// were the largest part of an idle node's processor time.
//
// To skip a turn whenever the first was heard of lately would not do: after a
// burst of answers all endpoints were heard of at once, would all be due at once,
// and the last would wait for twice the time. So each must still be in time if
// the ones before it take the turns to come.
func (q *Quiet) Due(now time.Time, pause time.Duration) bool {
	turns := time.Duration(q.byTime.Len()) * pause
	// An answer takes a while: with the question each turn, an endpoint is heard
	// of a little less than all turns ago.
	turns += pause / 2
	for e := q.byTime.Front(); e != nil; e = e.Next() {
		turns -= pause
		if now.Sub(placeOf(e).heard) > turns {
			return true
		}
	}
	return false
}
