package balance

import (
	"container/heap"
	"time"
)

// Quiet orders endpoints by when they were last heard of, the longest ago first.
// A node asks the first for its load, 16 times a second: with a scan of all the
// processor time of an idle node grew with the replicas. Replicas that are asked
// for their cache events are kept in the same way. The zero value holds no
// endpoint.
type Quiet struct {
	byTime quietHeap
	places map[string]*quietPlace
}

type quietPlace struct {
	endpoint string
	heard    time.Time
	index    int
}

// Set replaces the endpoints. Those in it before keep their times; newcomers
// have never been heard of.
func (q *Quiet) Set(endpoints []string) {
	old := q.places
	q.places = make(map[string]*quietPlace, len(endpoints))
	q.byTime = q.byTime[:0]
	for _, e := range endpoints {
		if q.places[e] != nil {
			continue
		}
		p := old[e]
		if p == nil {
			p = &quietPlace{endpoint: e}
		}
		p.index = len(q.byTime)
		q.places[e] = p
		q.byTime = append(q.byTime, p)
	}
	heap.Init(&q.byTime)
}

// Heard notes that an endpoint told its load, or is being asked for it, so that
// one which does not answer is not asked over and over before the others.
func (q *Quiet) Heard(endpoint string, at time.Time) {
	p := q.places[endpoint]
	if p == nil || at.Before(p.heard) {
		return
	}
	p.heard = at
	heap.Fix(&q.byTime, p.index)
}

// Has says whether an endpoint is among those of the last Set.
func (q *Quiet) Has(endpoint string) bool { return q.places[endpoint] != nil }

// First returns the endpoint that was heard of longest ago, and when; never is
// the zero time.
func (q *Quiet) First() (endpoint string, heard time.Time, ok bool) {
	if len(q.byTime) == 0 {
		return "", time.Time{}, false
	}
	return q.byTime[0].endpoint, q.byTime[0].heard, true
}

// quietHeap implements heap.Interface.
type quietHeap []*quietPlace

func (h quietHeap) Len() int           { return len(h) }
func (h quietHeap) Less(i, j int) bool { return h[i].heard.Before(h[j].heard) }
func (h quietHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *quietHeap) Push(x any) { *h = append(*h, x.(*quietPlace)) }
func (h *quietHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
