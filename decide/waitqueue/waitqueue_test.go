package waitqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// order empties a queue.
func order(q *Queue, now time.Time) []uint64 {
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

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		now  time.Time
		want []uint64
	}{
		{"all can be on time: by rank, then arrival", at(0), []uint64{2, 4, 1, 3}},
		{"the first has become late", at(150), []uint64{2, 4, 3, 1}},
		{"late ones by rank as well", at(350), []uint64{4, 2, 1, 3}},
	} {
		var q Queue
		q.Add(at(0), Request{ID: 1, Rank: 1, OnTimeUntil: at(100)})
		q.Add(at(0), Request{ID: 2, Rank: 0, OnTimeUntil: at(300)})
		q.Add(at(0), Request{ID: 3, Rank: 1, OnTimeUntil: at(200)})
		q.Add(at(0), Request{ID: 4, Rank: 0})
		if got := order(&q, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestNewcomer(t *testing.T) {
	var q Queue
	newcomer := Request{ID: 9, Rank: 1, OnTimeUntil: at(1000)}
	if q.Before(at(0), newcomer) {
		t.Error("nobody waits")
	}
	q.Add(at(0), Request{ID: 1, Rank: 2, OnTimeUntil: at(100)})
	if q.Before(at(0), newcomer) {
		t.Error("only a less urgent one waits")
	}
	q.Add(at(0), Request{ID: 2, Rank: 1, OnTimeUntil: at(100)})
	if !q.Before(at(0), newcomer) {
		t.Error("one of its rank waits")
	}
	if q.Before(at(200), newcomer) {
		t.Error("those who wait are late, the newcomer is not")
	}
}

// burst plays a node with room for ten requests of 300 ms each, to which twice as many
// come as it can take, and returns how many callers are answered on time (the answer
// begins within 300 ms) and late (within 600). After that callers give up.
// Without the rules nobody says when it is late.
func burst(rules bool) (onTime, late int) {
	const room, length, every = 10, 300, 15
	random := rand.New(rand.NewPCG(1, 1))
	var q Queue
	arrived := map[uint64]int{}
	var ends []int
	for ms, id := 0, uint64(0); ms < 20000; ms++ {
		ends = slices.DeleteFunc(ends, func(end int) bool { return end <= ms })
		if random.IntN(every) == 0 {
			id++
			arrived[id] = ms
			r := Request{ID: id}
			if rules {
				r.OnTimeUntil = at(ms + 300)
			}
			q.Add(at(ms), r)
		}
		for waiting, since := range arrived {
			if ms-since >= 600 {
				q.Remove(waiting)
				delete(arrived, waiting)
			}
		}
		for len(ends) < room {
			first, ok := q.First(at(ms))
			if !ok {
				break
			}
			q.Remove(first)
			if ms-arrived[first] < 300 {
				onTime++
			} else {
				late++
			}
			delete(arrived, first)
			ends = append(ends, ms+length)
		}
	}
	return onTime, late
}

// A burst of twice the room lasts for 20 s. In order of arrival nearly everybody who is
// answered is answered late; by the rules most are on time, and as many are answered.
func TestBurst(t *testing.T) {
	onTime, late := burst(true)
	inTurn, inTurnLate := burst(false)
	t.Logf("by the rules %d on time and %d late, in order of arrival %d and %d", onTime, late, inTurn, inTurnLate)
	if onTime < 9*(onTime+late)/10 || inTurn > onTime/3 {
		t.Errorf("by the rules %d on time and %d late, in order of arrival %d and %d", onTime, late, inTurn, inTurnLate)
	}
	if onTime+late < 95*(inTurn+inTurnLate)/100 {
		t.Errorf("%d answered, %d in order of arrival", onTime+late, inTurn+inTurnLate)
	}
}

// Whatever comes, gives up and becomes late, each request goes once, and none that can
// be on time goes behind one of its rank or a lower one that came later or can't.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting := map[uint64]Request{}
		now := start
		for id := uint64(1); id <= 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := Request{ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), OnTimeUntil: now.Add(time.Duration(rapid.IntRange(-50, 200).Draw(t, "time")) * time.Millisecond)}
				waiting[id] = r
				q.Add(now, r)
			case 2:
				first, ok := q.First(now)
				if ok != (len(waiting) > 0) {
					t.Fatalf("%t with %d waiting", ok, len(waiting))
				}
				if !ok {
					continue
				}
				taken, known := waiting[first]
				if !known {
					t.Fatalf("%d goes a second time, or had given up", first)
				}
				for _, r := range waiting {
					if !r.late(now) && (taken.late(now) || r.Rank < taken.Rank || r.Rank == taken.Rank && r.ID < first) {
						t.Fatalf("%+v goes before %+v", taken, r)
					}
				}
				q.Remove(first)
				delete(waiting, first)
			case 3:
				for given := range waiting {
					if !q.Remove(given) {
						t.Fatalf("%d was not there", given)
					}
					delete(waiting, given)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d wait, want %d", q.Len(), len(waiting))
			}
		}
	})
}
