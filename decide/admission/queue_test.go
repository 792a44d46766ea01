package admission_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

// Shorter names for the table in TestOrderOfService and for its helpers.
type (
	request        = admission.Request
	admissionQueue = admission.Queue
)

func timeAt(s float64) time.Time { return sim.Start.Add(fromSeconds(s)) }

func offer(id uint64, team string, class admission.Class, cost float64) request {
	return request{ID: id, Team: team, Class: class, Cost: cost, Deadline: timeAt(1000)}
}

// serviceOrder offers the requests and then finishes the running requests one by one. It
// returns the IDs of the requests in the order in which they start.
func serviceOrder(q *admissionQueue, offers []request) (ids []uint64) {
	var started []admission.Verdict
	cost := map[uint64]float64{}
	for _, r := range offers {
		cost[r.ID] = r.Cost
		started = append(started, q.Offer(timeAt(0), r)...)
	}
	for ; len(started) > 0; started = started[1:] {
		id := started[0].ID
		ids = append(ids, id)
		started = append(started, q.Finish(timeAt(float64(len(ids))), id, cost[id])...)
	}
	return ids
}

func TestOrderOfService(t *testing.T) {
	const o, i, b = admission.Order, admission.Interactive, admission.Batch
	Convey("With one slot, the waiting requests start in this order", t, func() {
		for _, c := range []struct {
			rule   string
			offers []request
			want   []uint64
		}{
			{"by class within a team", []request{offer(1, "a", b, 10), offer(2, "a", b, 10), offer(3, "a", i, 10), offer(4, "a", o, 10)}, []uint64{1, 4, 3, 2}},
			{"by arrival within a class", []request{offer(1, "a", i, 10), offer(2, "a", i, 30), offer(3, "a", i, 20)}, []uint64{1, 2, 3}},
			{"by work served across teams", []request{offer(1, "a", i, 100), offer(2, "a", i, 100), offer(3, "a", i, 100), offer(4, "b", i, 110), offer(5, "b", i, 110)}, []uint64{1, 4, 2, 5, 3}},
			{"an order before the batch job of a team with less work served", []request{offer(1, "b", o, 100), offer(2, "a", b, 100), offer(3, "b", o, 100)}, []uint64{1, 3, 2}},
			{"the batch job first if the team of the order is far ahead", []request{offer(1, "b", o, 9000), offer(2, "a", b, 100), offer(3, "b", o, 100)}, []uint64{1, 2, 3}},
			{"short and long by work served, a short request first if equal", []request{offer(1, "a", i, 100), offer(2, "a", i, 3000), offer(3, "a", i, 100), offer(4, "a", i, 3000), offer(5, "a", i, 100)}, []uint64{1, 3, 2, 5, 4}},
		} {
			q := admission.New(admission.Config{Slots: 1})
			SoMsg(c.rule, serviceOrder(q, c.offers), ShouldResemble, c.want)
		}
	})
}

func TestRefusals(t *testing.T) {
	Convey("A request that can't be served is refused at once, with the reason", t, func() {
		q := admission.New(admission.Config{Slots: 1, SlotRate: 10, MaxWaiting: 3})
		So(q.Offer(timeAt(0), offer(1, "a", admission.Interactive, 100))[0].Kind, ShouldEqual, admission.Run)
		late := offer(2, "a", admission.Interactive, 100)
		late.Deadline = timeAt(5)
		v := q.Offer(timeAt(0), late)[0]
		So(v.Reason, ShouldEqual, admission.TooLate)
		So(v.Predicted, ShouldBeGreaterThanOrEqualTo, 10*time.Second)
		So(v.RetryAfter, ShouldBeGreaterThan, 5*time.Second)

		So(q.Offer(timeAt(0), offer(1, "b", admission.Batch, 1))[0].Reason, ShouldEqual, admission.DuplicateID)
		expired := offer(3, "a", admission.Interactive, 100)
		expired.Deadline = timeAt(-1)
		So(q.Offer(timeAt(0), expired)[0].Reason, ShouldEqual, admission.DeadlinePassed)
		for id := range uint64(3) {
			So(q.Offer(timeAt(0), offer(10+id, "a", admission.Interactive, 100)), ShouldBeEmpty)
		}
		So(q.Offer(timeAt(0), offer(20, "b", admission.Interactive, 100))[0].Reason, ShouldEqual, admission.QueueFull)

		Convey("if its team is removed while it waits", func() {
			out := q.RemoveTeam(timeAt(1), "a")
			So(len(out), ShouldEqual, 3)
			So(out[0].Reason, ShouldEqual, admission.TeamRemoved)
			So(out[0].RetryAfter, ShouldEqual, 0)
		})
		Convey("if the service has no slots", func() {
			So(q.SetCapacity(timeAt(1), 0), ShouldBeEmpty)
			So(q.Offer(timeAt(1), offer(21, "b", admission.Interactive, 1))[0].Reason, ShouldEqual, admission.NoCapacity)
		})
		Convey("and a canceled request frees its slot or its place in the queue for another request", func() {
			So(q.Cancel(timeAt(1), 10), ShouldBeEmpty)
			So(q.Cancel(timeAt(1), 1)[0].ID, ShouldEqual, 11)
			So(q.Finish(timeAt(2), 1, 100), ShouldBeEmpty)
			So(q.Stats(timeAt(2)).Running, ShouldEqual, 1)
		})
	})
	Convey("Lost capacity and a slow service lead to refusals before any response is late", t, func() {
		q := admission.New(admission.Config{Slots: 4, SlotRate: 10})
		for id := range uint64(7) {
			r := offer(id, "a", admission.Interactive, 100)
			r.Deadline = timeAt(15)
			q.Offer(timeAt(0), r)
		}
		So(q.Stats(timeAt(0)).Waiting, ShouldEqual, 3)
		So(len(q.SetCapacity(timeAt(1), 1)), ShouldEqual, 3)

		q = admission.New(admission.Config{Slots: 1, SlotRate: 10})
		q.Offer(timeAt(0), offer(1, "a", admission.Interactive, 10)) // expected to take 1 s
		r := offer(2, "a", admission.Interactive, 10)
		r.Deadline = timeAt(34)
		So(q.Offer(timeAt(30), r)[0].Reason, ShouldEqual, admission.TooLate)

		q.Finish(timeAt(30), 1, 10)
		for id := range uint64(50) { // requests with refused connections must not raise the measured rate
			q.Offer(timeAt(31), offer(10+id, "a", admission.Interactive, 10))
			q.Finish(timeAt(31.001), 10+id, 0)
		}
		q.Offer(timeAt(31.1), offer(3, "a", admission.Interactive, 10))
		So(q.Offer(timeAt(31.1), r)[0].Reason, ShouldEqual, admission.TooLate)
	})
	Convey("Truncated responses do not raise the measured rate", t, func() {
		q := admission.New(admission.Config{Slots: 1})
		q.Offer(timeAt(0), offer(1, "a", admission.Interactive, 100))
		q.Finish(timeAt(10), 1, 100)
		for id := range uint64(50) {
			q.Offer(timeAt(10), offer(10+id, "a", admission.Interactive, 100))
			q.FinishTruncated(timeAt(10.1), 10+id, 1)
		}
		q.Offer(timeAt(11), offer(2, "a", admission.Interactive, 100))
		r := offer(3, "a", admission.Interactive, 100)
		r.Deadline = timeAt(16)
		So(q.Offer(timeAt(11), r)[0].Reason, ShouldEqual, admission.TooLate)
	})
	Convey("A short request takes a slot that is kept free of long jobs, even if its team is above its share", t, func() {
		q := admission.New(admission.Config{Slots: 10, SlotRate: 100, LongCost: 1000})
		for id := range uint64(6) {
			q.Offer(timeAt(0), offer(id, "a", admission.Interactive, 500))
		}
		for id := range uint64(6) {
			q.Cancel(timeAt(0.2), id)
		}
		for id := range uint64(6) {
			q.Offer(timeAt(0.2), offer(10+id, "a", admission.Interactive, 10000))
		}
		s := q.Stats(timeAt(0.2))
		So([]int{s.LongJobSlots, s.RunningLongJobs, s.Running, s.Waiting}, ShouldResemble, []int{5, 5, 5, 1})
		r := offer(20, "a", admission.Interactive, 500)
		r.Deadline = timeAt(1)
		So(q.Offer(timeAt(0.2), r)[0].Kind, ShouldEqual, admission.Run)
	})
	Convey("A request whose deadline passes in the queue is refused at the time that Tick returned", t, func() {
		q := admission.New(admission.Config{Slots: 1})
		q.Offer(timeAt(0), offer(1, "a", admission.Interactive, 100))
		r := offer(2, "a", admission.Interactive, 100)
		r.Deadline = timeAt(0.05)
		So(q.Offer(timeAt(0), r), ShouldBeEmpty)
		out, next := q.Tick(timeAt(0))
		So(out, ShouldBeEmpty)
		So(next, ShouldEqual, r.Deadline)
		out, next = q.Tick(timeAt(0.051))
		So(out[0].Reason, ShouldEqual, admission.DeadlinePassed)
		So(next.IsZero(), ShouldBeTrue)
		r.ID = 3
		r.Deadline = timeAt(5)
		So(q.Offer(timeAt(1), r), ShouldBeEmpty)
		So(q.Finish(timeAt(6), 1, 100)[0].Reason, ShouldEqual, admission.DeadlinePassed) // dispatch refuses it, because Tick was not called in time
	})
}

func TestEveryRequestGetsOneVerdict(t *testing.T) {
	// If the queue lost a request in some sequence of calls, the caller would get no
	// verdict or two verdicts, or the slot of the request would stay occupied. Each request
	// must get exactly one verdict, and no verdict after it was canceled. A request may
	// start only in a free slot. The queue must be empty after all requests were canceled.
	for range 20 {
		rapid.Check(t, checkVerdicts)
	}
}

func checkVerdicts(t *rapid.T) {
	const stateWaiting, stateRunning = 1, 2
	q := admission.New(admission.Config{Slots: 3, SlotRate: rapid.Float64Range(0, 100).Draw(t, "rate"), MaxWaiting: 20, LongCost: 500})
	now, slotCount, id := sim.Start, 3, uint64(0)
	state := map[uint64]int{}
	applyVerdicts := func(verdicts []admission.Verdict) {
		for _, v := range verdicts {
			if state[v.ID] != stateWaiting {
				t.Fatalf("verdict %+v on a request in state %d, want a waiting request", v, state[v.ID])
			}
			delete(state, v.ID)
			if v.Kind == admission.Run {
				state[v.ID] = stateRunning
			}
			if s := q.Stats(now); v.Kind == admission.Run && s.Running > slotCount {
				t.Fatalf("%d requests run in %d slots", s.Running, slotCount)
			}
		}
	}
	knownID := func(t *rapid.T) uint64 { return rapid.Uint64Range(0, id).Draw(t, "known ID") }
	team := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"offer": func(t *rapid.T) {
			id++
			r := request{ID: id, Team: team.Draw(t, "team"), Class: admission.Class(rapid.IntRange(0, 2).Draw(t, "class")), Cost: rapid.Float64Range(0, 1000).Draw(t, "cost")}
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			}
			state[id] = stateWaiting
			applyVerdicts(q.Offer(now, r))
		},
		"finish": func(t *rapid.T) {
			requestID := knownID(t)
			if state[requestID] == stateRunning {
				delete(state, requestID)
			}
			applyVerdicts(q.Finish(now, requestID, rapid.Float64Range(0, 3000).Draw(t, "actual")))
		},
		"cancel": func(t *rapid.T) {
			requestID := knownID(t)
			delete(state, requestID)
			applyVerdicts(q.Cancel(now, requestID))
		},
		"answer begins": func(t *rapid.T) { q.AnswerBegan(now, knownID(t)) },
		"answer goes on": func(t *rapid.T) {
			q.Progress(now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "silent ms"))*time.Millisecond), now)
		},
		"capacity": func(t *rapid.T) {
			slotCount = rapid.IntRange(0, 5).Draw(t, "slots")
			applyVerdicts(q.SetCapacity(now, slotCount))
		},
		"weight": func(t *rapid.T) { q.SetTeam(team.Draw(t, "team"), rapid.Float64Range(-1, 9).Draw(t, "weight")) },
		"remove": func(t *rapid.T) { applyVerdicts(q.RemoveTeam(now, team.Draw(t, "team"))) },
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			out, next := q.Tick(now)
			applyVerdicts(out)
			if s := q.Stats(now); (s.Waiting > 0) != next.After(now) {
				t.Fatalf("%d requests wait, but the next tick is %v from now", s.Waiting, next.Sub(now))
			}
		},
		"": func(t *rapid.T) {
			running, waiting := 0, 0
			for _, s := range state {
				if s == stateRunning {
					running++
				} else {
					waiting++
				}
			}
			if s := q.Stats(now); s.Running != running || s.Waiting != waiting {
				t.Fatalf("stats %+v, want %d running and %d waiting", s, running, waiting)
			}
		},
	})
	for requestID := range id + 1 {
		applyVerdicts(q.Cancel(now, requestID))
		delete(state, requestID)
	}
	if s := q.Stats(now); s.Running+s.Waiting+s.RunningLongJobs+len(state) != 0 {
		t.Fatalf("the queue is not empty after all requests were canceled: %+v, %v", s, state)
	}
}
