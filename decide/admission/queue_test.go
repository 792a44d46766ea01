package admission_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

// Short names for the tables below.
type (
	request = admission.Request
	queueOf = admission.Queue
)

func at(s float64) time.Time { return sim.Start.Add(seconds(s)) }

func offer(id uint64, team string, class admission.Class, cost float64) request {
	return request{ID: id, Team: team, Class: class, Cost: cost, Deadline: at(1000)}
}

// order offers the requests, finishes what runs, one at a time, and returns the
// IDs in the order of their starts.
func order(q *queueOf, offers []request) (ids []uint64) {
	var started []admission.Verdict
	cost := map[uint64]float64{}
	for _, r := range offers {
		cost[r.ID] = r.Cost
		started = append(started, q.Offer(at(0), r)...)
	}
	for ; len(started) > 0; started = started[1:] {
		id := started[0].ID
		ids = append(ids, id)
		started = append(started, q.Finish(at(float64(len(ids))), id, cost[id])...)
	}
	return ids
}

func TestOrderOfService(t *testing.T) {
	const o, i, b = admission.Order, admission.Interactive, admission.Batch
	Convey("With one slot, what waits starts in this order", t, func() {
		for _, c := range []struct {
			why   string
			offer []request
			want  []uint64
		}{
			{"by class within a team", []request{offer(1, "a", b, 10), offer(2, "a", b, 10), offer(3, "a", i, 10), offer(4, "a", o, 10)}, []uint64{1, 4, 3, 2}},
			{"by arrival within a class", []request{offer(1, "a", i, 10), offer(2, "a", i, 30), offer(3, "a", i, 20)}, []uint64{1, 2, 3}},
			{"in turn across teams", []request{offer(1, "a", i, 100), offer(2, "a", i, 100), offer(3, "a", i, 100), offer(4, "b", i, 110), offer(5, "b", i, 110)}, []uint64{1, 4, 2, 5, 3}},
			{"an order before the batch job of a team that is due", []request{offer(1, "b", o, 100), offer(2, "a", b, 100), offer(3, "b", o, 100)}, []uint64{1, 3, 2}},
			{"but not when its team is far ahead", []request{offer(1, "b", o, 9000), offer(2, "a", b, 100), offer(3, "b", o, 100)}, []uint64{1, 2, 3}},
			{"short and long in turn by work, on a tie the short one", []request{offer(1, "a", i, 100), offer(2, "a", i, 3000), offer(3, "a", i, 100), offer(4, "a", i, 3000), offer(5, "a", i, 100)}, []uint64{1, 3, 2, 5, 4}},
		} {
			q := admission.New(admission.Config{Slots: 1})
			SoMsg(c.why, order(q, c.offer), ShouldResemble, c.want)
		}
	})
}

func TestRefusals(t *testing.T) {
	Convey("A refusal comes at once, with its reason", t, func() {
		q := admission.New(admission.Config{Slots: 1, SlotRate: 10, MaxWaiting: 3})
		So(q.Offer(at(0), offer(1, "a", admission.Interactive, 100))[0].Kind, ShouldEqual, admission.Run)
		late := offer(2, "a", admission.Interactive, 100)
		late.Deadline = at(5)
		v := q.Offer(at(0), late)[0]
		So(v.Reason, ShouldEqual, admission.TooLate)
		So(v.Predicted, ShouldBeGreaterThanOrEqualTo, 10*time.Second)
		So(v.RetryAfter, ShouldBeGreaterThan, 5*time.Second)

		So(q.Offer(at(0), offer(1, "b", admission.Batch, 1))[0].Reason, ShouldEqual, admission.DuplicateID)
		gone := offer(3, "a", admission.Interactive, 100)
		gone.Deadline = at(-1)
		So(q.Offer(at(0), gone)[0].Reason, ShouldEqual, admission.DeadlinePassed)
		for id := range uint64(3) {
			So(q.Offer(at(0), offer(10+id, "a", admission.Interactive, 100)), ShouldBeEmpty)
		}
		So(q.Offer(at(0), offer(20, "b", admission.Interactive, 100))[0].Reason, ShouldEqual, admission.QueueFull)

		Convey("also for those who wait when the team is removed", func() {
			out := q.RemoveTeam(at(1), "a")
			So(len(out), ShouldEqual, 3)
			So(out[0].Reason, ShouldEqual, admission.TeamRemoved)
			So(out[0].RetryAfter, ShouldEqual, 0)
		})
		Convey("also when no slot is left", func() {
			So(q.SetCapacity(at(1), 0), ShouldBeEmpty)
			So(q.Offer(at(1), offer(21, "b", admission.Interactive, 1))[0].Reason, ShouldEqual, admission.NoCapacity)
		})
		Convey("and callers who leave make room", func() {
			So(q.Abandon(at(1), 10), ShouldBeEmpty)
			So(q.Abandon(at(1), 1)[0].ID, ShouldEqual, 11)
			So(q.Finish(at(2), 1, 100), ShouldBeEmpty)
			So(q.Stats(at(2)).Running, ShouldEqual, 1)
		})
	})
	Convey("Lost capacity and a slow service count before any answer is late", t, func() {
		q := admission.New(admission.Config{Slots: 4, SlotRate: 10})
		for id := range uint64(7) {
			r := offer(id, "a", admission.Interactive, 100)
			r.Deadline = at(15)
			q.Offer(at(0), r)
		}
		So(q.Stats(at(0)).Waiting, ShouldEqual, 3)
		So(len(q.SetCapacity(at(1), 1)), ShouldEqual, 3)

		q = admission.New(admission.Config{Slots: 1, SlotRate: 10})
		q.Offer(at(0), offer(1, "a", admission.Interactive, 10)) // takes a second, as foreseen
		r := offer(2, "a", admission.Interactive, 10)
		r.Deadline = at(34)
		So(q.Offer(at(30), r)[0].Reason, ShouldEqual, admission.TooLate)

		q.Finish(at(30), 1, 10)
		for id := range uint64(50) { // refused connections make no fast service
			q.Offer(at(31), offer(10+id, "a", admission.Interactive, 10))
			q.Finish(at(31.001), 10+id, 0)
		}
		q.Offer(at(31.1), offer(3, "a", admission.Interactive, 10))
		So(q.Offer(at(31.1), r)[0].Reason, ShouldEqual, admission.TooLate)
	})
	Convey("Answers cut short make no fast service", t, func() {
		q := admission.New(admission.Config{Slots: 1})
		q.Offer(at(0), offer(1, "a", admission.Interactive, 100))
		q.Finish(at(10), 1, 100)
		for id := range uint64(50) {
			q.Offer(at(10), offer(10+id, "a", admission.Interactive, 100))
			q.Cut(at(10.1), 10+id, 1)
		}
		q.Offer(at(11), offer(2, "a", admission.Interactive, 100))
		r := offer(3, "a", admission.Interactive, 100)
		r.Deadline = at(16)
		So(q.Offer(at(11), r)[0].Reason, ShouldEqual, admission.TooLate)
	})
	Convey("A short job takes a slot that is kept from the long ones, however much its team has had", t, func() {
		q := admission.New(admission.Config{Slots: 10, SlotRate: 100, LongCost: 1000})
		for id := range uint64(6) {
			q.Offer(at(0), offer(id, "a", admission.Interactive, 500))
		}
		for id := range uint64(6) {
			q.Abandon(at(0.2), id)
		}
		for id := range uint64(6) {
			q.Offer(at(0.2), offer(10+id, "a", admission.Interactive, 10000))
		}
		s := q.Stats(at(0.2))
		So([]int{s.LongRoom, s.LongRun, s.Running, s.Waiting}, ShouldResemble, []int{5, 5, 5, 1})
		r := offer(20, "a", admission.Interactive, 500)
		r.Deadline = at(1)
		So(q.Offer(at(0.2), r)[0].Kind, ShouldEqual, admission.Run)
	})
	Convey("A deadline that passes in the queue is answered at the time Tick gave", t, func() {
		q := admission.New(admission.Config{Slots: 1})
		q.Offer(at(0), offer(1, "a", admission.Interactive, 100))
		r := offer(2, "a", admission.Interactive, 100)
		r.Deadline = at(0.05)
		So(q.Offer(at(0), r), ShouldBeEmpty)
		out, next := q.Tick(at(0))
		So(out, ShouldBeEmpty)
		So(next, ShouldEqual, r.Deadline)
		out, next = q.Tick(at(0.051))
		So(out[0].Reason, ShouldEqual, admission.DeadlinePassed)
		So(next.IsZero(), ShouldBeTrue)
		r.ID = 3
		r.Deadline = at(5)
		So(q.Offer(at(1), r), ShouldBeEmpty)
		So(q.Finish(at(6), 1, 100)[0].Reason, ShouldEqual, admission.DeadlinePassed) // Tick was late
	})
}

func TestEveryRequestGetsOneAnswer(t *testing.T) {
	// Whatever comes in whatever order, a caller gets one final answer: run or
	// not run, never both, and none after leaving; no more run than there are
	// slots at the start; and nothing is left when all is done.
	for range 20 {
		rapid.Check(t, checkAnswers)
	}
}

func checkAnswers(t *rapid.T) {
	const waits, runs = 1, 2
	q := admission.New(admission.Config{Slots: 3, SlotRate: rapid.Float64Range(0, 100).Draw(t, "rate"), MaxWaiting: 20, LongCost: 500})
	now, size, id := sim.Start, 3, uint64(0)
	state := map[uint64]int{}
	act := func(out []admission.Verdict) {
		for _, v := range out {
			if state[v.ID] != waits {
				t.Fatalf("verdict %+v on request in state %d", v, state[v.ID])
			}
			delete(state, v.ID)
			if v.Kind == admission.Run {
				state[v.ID] = runs
			}
			if s := q.Stats(now); v.Kind == admission.Run && s.Running > size {
				t.Fatalf("%d run in %d slots", s.Running, size)
			}
		}
	}
	known := func(t *rapid.T) uint64 { return rapid.Uint64Range(0, id).Draw(t, "known") }
	team := rapid.SampledFrom([]string{"a", "b", "c"})
	t.Repeat(map[string]func(*rapid.T){
		"offer": func(t *rapid.T) {
			id++
			r := request{ID: id, Team: team.Draw(t, "team"), Class: admission.Class(rapid.IntRange(0, 2).Draw(t, "class")), Cost: rapid.Float64Range(0, 1000).Draw(t, "cost")}
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			}
			state[id] = waits
			act(q.Offer(now, r))
		},
		"finish": func(t *rapid.T) {
			k := known(t)
			if state[k] == runs {
				delete(state, k)
			}
			act(q.Finish(now, k, rapid.Float64Range(0, 3000).Draw(t, "actual")))
		},
		"abandon": func(t *rapid.T) {
			k := known(t)
			delete(state, k)
			act(q.Abandon(now, k))
		},
		"capacity": func(t *rapid.T) {
			size = rapid.IntRange(0, 5).Draw(t, "slots")
			act(q.SetCapacity(now, size))
		},
		"weight": func(t *rapid.T) { q.SetTeam(team.Draw(t, "team"), rapid.Float64Range(-1, 9).Draw(t, "weight")) },
		"remove": func(t *rapid.T) { act(q.RemoveTeam(now, team.Draw(t, "team"))) },
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			out, next := q.Tick(now)
			act(out)
			if s := q.Stats(now); (s.Waiting > 0) != next.After(now) {
				t.Fatalf("%d wait, next tick %v after now", s.Waiting, next.Sub(now))
			}
		},
		"": func(t *rapid.T) {
			running, waiting := 0, 0
			for _, s := range state {
				if s == runs {
					running++
				} else {
					waiting++
				}
			}
			if s := q.Stats(now); s.Running != running || s.Waiting != waiting {
				t.Fatalf("stats %+v, but %d run and %d wait", s, running, waiting)
			}
		},
	})
	for k := range id + 1 {
		act(q.Abandon(now, k))
		delete(state, k)
	}
	if s := q.Stats(now); s.Running+s.Waiting+s.LongRun+len(state) != 0 {
		t.Fatalf("left behind: %+v, %v", s, state)
	}
}
