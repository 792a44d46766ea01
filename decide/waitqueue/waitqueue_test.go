package waitqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func timeAt(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// drain removes all requests and returns their IDs in the order in which First returned
// them.
func drain(q *Queue, now time.Time) []uint64 {
	var ids []uint64
	for {
		id, ok := q.First(now)
		if !ok {
			return ids
		}
		ids = append(ids, id)
		q.Remove(id)
	}
}

func TestServiceOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		now  time.Time
		want []uint64
	}{
		{"all requests can be on time: by priority, then by arrival", timeAt(0), []uint64{2, 4, 1, 3}},
		{"request 1 has become late", timeAt(150), []uint64{2, 4, 3, 1}},
		{"late requests are ordered by priority as well", timeAt(350), []uint64{4, 2, 1, 3}},
	} {
		var q Queue
		q.Add(timeAt(0), Request{ID: 1, Priority: 1, OnTimeUntil: timeAt(100)})
		q.Add(timeAt(0), Request{ID: 2, Priority: 0, OnTimeUntil: timeAt(300)})
		q.Add(timeAt(0), Request{ID: 3, Priority: 1, OnTimeUntil: timeAt(200)})
		q.Add(timeAt(0), Request{ID: 4, Priority: 0})
		if got := drain(&q, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestNewRequestWaitsBehindEqualPriority(t *testing.T) {
	var q Queue
	newRequest := Request{ID: 9, Priority: 1, OnTimeUntil: timeAt(1000)}
	if q.MustWait(timeAt(0), newRequest) {
		t.Error("new request has to wait, but the queue is empty")
	}
	q.Add(timeAt(0), Request{ID: 1, Priority: 2, OnTimeUntil: timeAt(100)})
	if q.MustWait(timeAt(0), newRequest) {
		t.Error("new request has to wait, but the waiting request has a lower priority")
	}
	q.Add(timeAt(0), Request{ID: 2, Priority: 1, OnTimeUntil: timeAt(100)})
	if !q.MustWait(timeAt(0), newRequest) {
		t.Error("new request goes before a waiting request of the same priority")
	}
	if q.MustWait(timeAt(200), newRequest) {
		t.Error("new request has to wait, but all waiting requests are late")
	}
}

// simulateBurst simulates a node that runs ten requests of 300 ms each at a time and
// receives twice the load that it can serve. It returns the number of requests that start
// on time (less than 300 ms after their arrival) and the number that start late. Callers
// give up after 600 ms. If onTimeFirst is false, OnTimeUntil is not set, and the queue
// works first in, first out.
func simulateBurst(onTimeFirst bool) (onTime, late int) {
	const capacity, serviceMs, meanGapMs = 10, 300, 15
	rng := rand.New(rand.NewPCG(1, 1))
	var q Queue
	arrivalMs := map[uint64]int{}
	var endTimesMs []int
	for ms, id := 0, uint64(0); ms < 20000; ms++ {
		endTimesMs = slices.DeleteFunc(endTimesMs, func(end int) bool { return end <= ms })
		if rng.IntN(meanGapMs) == 0 {
			id++
			arrivalMs[id] = ms
			r := Request{ID: id}
			if onTimeFirst {
				r.OnTimeUntil = timeAt(ms + 300)
			}
			q.Add(timeAt(ms), r)
		}
		for id, arrivedMs := range arrivalMs {
			if ms-arrivedMs >= 600 {
				q.Remove(id)
				delete(arrivalMs, id)
			}
		}
		for len(endTimesMs) < capacity {
			first, ok := q.First(timeAt(ms))
			if !ok {
				break
			}
			q.Remove(first)
			if ms-arrivalMs[first] < 300 {
				onTime++
			} else {
				late++
			}
			delete(arrivalMs, first)
			endTimesMs = append(endTimesMs, ms+serviceMs)
		}
	}
	return onTime, late
}

// If the queue worked first in, first out, a burst of 20 s at twice the capacity would make
// nearly every served request start late. With on-time requests first, at least 95% as many
// requests are served, and nine in ten of these start on time.
func TestBurstKeepsMostRequestsOnTime(t *testing.T) {
	onTime, late := simulateBurst(true)
	fifoOnTime, fifoLate := simulateBurst(false)
	t.Logf("on-time requests first: %d on time and %d late; FIFO: %d and %d", onTime, late, fifoOnTime, fifoLate)
	if onTime < 9*(onTime+late)/10 || fifoOnTime > onTime/3 {
		t.Errorf("on-time requests first: %d on time and %d late; FIFO: %d and %d", onTime, late, fifoOnTime, fifoLate)
	}
	if onTime+late < 95*(fifoOnTime+fifoLate)/100 {
		t.Errorf("%d requests served, %d with FIFO", onTime+late, fifoOnTime+fifoLate)
	}
}

// If the queue lost its order after some sequence of calls, a request that can be on time
// would wait behind a late request, a request of lower priority, or a later request of the
// same priority. If the queue kept a removed request, this request would start twice.
func TestOrderUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting := map[uint64]Request{}
		now := epoch
		for id := uint64(1); id <= 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := Request{ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), OnTimeUntil: now.Add(time.Duration(rapid.IntRange(-50, 200).Draw(t, "time")) * time.Millisecond)}
				waiting[id] = r
				q.Add(now, r)
			case 2:
				first, ok := q.First(now)
				if ok != (len(waiting) > 0) {
					t.Fatalf("First returned ok=%t with %d requests waiting", ok, len(waiting))
				}
				if !ok {
					continue
				}
				started, known := waiting[first]
				if !known {
					t.Fatalf("request %d starts, but it has started before or was removed", first)
				}
				for _, r := range waiting {
					if !r.late(now) && (started.late(now) || r.Priority < started.Priority || r.Priority == started.Priority && r.ID < first) {
						t.Fatalf("request %+v starts before %+v", started, r)
					}
				}
				q.Remove(first)
				delete(waiting, first)
			case 3:
				for id := range waiting {
					if !q.Remove(id) {
						t.Fatalf("waiting request %d was not in the queue", id)
					}
					delete(waiting, id)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("Len is %d, want %d", q.Len(), len(waiting))
			}
		}
	})
}
