package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// evenChain returns a chain of n equal accelerators with equal links. Each accelerator has
// memory for 100 bytes.
func evenChain(n int, layerMicros, linkMicros float64) Chain {
	var c Chain
	for i := range n {
		c.Accelerators = append(c.Accelerators, Accelerator{Endpoint: fmt.Sprint("e", i), LayerMicros: layerMicros, MemoryBytes: 100})
		c.LinkMicros = append(c.LinkMicros, make([]float64, n))
		for j := range n {
			c.LinkMicros[i][j] = linkMicros
		}
	}
	return c
}

// bestByExhaustion returns the best of all partitions that fit in memory.
func bestByExhaustion(model Model, chain Chain) Partition {
	best := Partition{Bottleneck: math.Inf(1), Total: math.Inf(1)}
	var try func(accelerator, firstLayer int, stages []Stage)
	try = func(accelerator, firstLayer int, stages []Stage) {
		if firstLayer == model.Layers {
			partition, _ := Evaluate(Partition{Stages: stages}, chain)
			if partition.Bottleneck < best.Bottleneck || partition.Bottleneck == best.Bottleneck && partition.Total < best.Total {
				best = partition
			}
			return
		}
		if accelerator == len(chain.Accelerators) {
			return
		}
		try(accelerator+1, firstLayer, stages)
		a := chain.Accelerators[accelerator]
		for n := 1; n <= model.Layers-firstLayer && int64(n)*model.LayerBytes <= a.MemoryBytes; n++ {
			stage := Stage{Endpoint: a.Endpoint, First: firstLayer, Last: firstLayer + n - 1}
			try(accelerator+1, firstLayer+n, append(stages[:len(stages):len(stages)], stage))
		}
	}
	try(0, 0, nil)
	return best
}

// BestPartition must find a partition as good as that of an exhaustive search. The times of
// layers and links differ a hundredfold. These times are whole numbers, so that sums are
// exact and equal costs compare equal.
func TestBestAgainstExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "engines")
		model := Model{Layers: rapid.IntRange(1, 9).Draw(t, "layers"), LayerBytes: 10}
		chain := evenChain(n, 0, 0)
		for i := range n {
			chain.Accelerators[i].LayerMicros = float64(rapid.IntRange(1, 100).Draw(t, "layer time"))
			chain.Accelerators[i].MemoryBytes = int64(rapid.IntRange(0, 60).Draw(t, "memory"))
			for j := range n {
				chain.LinkMicros[i][j] = float64(rapid.IntRange(1, 100).Draw(t, "link time"))
			}
		}
		want := bestByExhaustion(model, chain)
		got, err := BestPartition(model, chain)
		if math.IsInf(want.Bottleneck, 1) {
			if err != ErrNoFit {
				t.Fatal("the model does not fit, but BestPartition returned", got)
			}
			return
		}
		evaluated, valid := Evaluate(got, chain)
		if err != nil || !valid || got.Bottleneck != want.Bottleneck || got.Total != want.Total ||
			evaluated.Bottleneck != got.Bottleneck || evaluated.Total != got.Total {
			t.Fatalf("got %+v, which costs %+v; the best is %+v; error %v", got, evaluated, want, err)
		}
	})
}

func newTestPlanner(chain Chain, model Model) *Planner {
	partition, err := BestPartition(model, chain)
	So(err, ShouldBeNil)
	return NewPlanner(model, chain, Plan{Version: 1, Partition: partition}, Policy{})
}

// observeSeconds gives the planner one measurement of each stage per second, with the times
// of the chain that actualChain returns for the second. It adopts each changed plan
// that Decide returns, and returns the number of these plans.
func observeSeconds(p *Planner, now *time.Time, seconds int, actualChain func(second int) Chain) int {
	changes := 0
	for second := range seconds {
		*now = now.Add(time.Second)
		chain := actualChain(second)
		stages := p.Plan().Partition.Stages
		for i, s := range stages {
			accelerator := chain.acceleratorIndex(s.Endpoint)
			stepMicros := float64(s.Last-s.First+1) * chain.Accelerators[accelerator].LayerMicros
			m := Measurement{Endpoint: s.Endpoint, HopMicros: stepMicros, StepMicros: stepMicros}
			if i+1 < len(stages) {
				m.Next = stages[i+1].Endpoint
				m.HopMicros += chain.LinkMicros[accelerator][chain.acceleratorIndex(m.Next)]
			}
			p.Observe(*now, m)
		}
		if plan, changed := p.Decide(*now); changed {
			p.Adopt(*now, plan)
			changes++
		}
	}
	return changes
}

// A slow link or stage delays all tokens until the plan avoids it. If the link or stage is
// slow for longer than the stabilization window, the planner avoids it with a single move. A
// link that is slow for less than the window causes no move, because each move costs a load.
func TestPlannerAvoidsSlowHopsWithoutFlapping(t *testing.T) {
	model := Model{Layers: 12, LayerBytes: 10}
	healthyChain := evenChain(4, 100, 10)
	slowLinkChain := evenChain(4, 100, 10)
	slowLinkChain.LinkMicros[1][2] = 5000
	slowStageChain := evenChain(4, 100, 10)
	slowStageChain.Accelerators[2].LayerMicros = 3000
	now := time.Unix(0, 0)
	Convey("A link that stays slow causes one move", t, func() {
		p := newTestPlanner(healthyChain, model)
		So(observeSeconds(p, &now, 300, func(int) Chain { return slowLinkChain }), ShouldEqual, 1)
		partition, _ := Evaluate(p.Plan().Partition, slowLinkChain)
		So(partition.Bottleneck, ShouldBeLessThan, 1000)
		So(p.Plan().Version, ShouldEqual, 2)
	})
	Convey("A stage that stays slow causes one move", t, func() {
		p := newTestPlanner(healthyChain, model)
		So(observeSeconds(p, &now, 300, func(int) Chain { return slowStageChain }), ShouldEqual, 1)
		partition, _ := Evaluate(p.Plan().Partition, slowStageChain)
		So(partition.Bottleneck, ShouldBeLessThan, 1000)
	})
	Convey("A link that flaps faster than the stabilization window causes no move", t, func() {
		p := newTestPlanner(healthyChain, model)
		changes := observeSeconds(p, &now, 300, func(second int) Chain {
			if second%15 < 3 {
				return slowLinkChain
			}
			return healthyChain
		})
		So(changes, ShouldEqual, 0)
	})
	Convey("A link that is slow every other 30 s for an hour causes at most two moves per measurement TTL", t, func() {
		p := newTestPlanner(healthyChain, model)
		changes := observeSeconds(p, &now, 3600, func(second int) Chain {
			if second/30%2 == 0 {
				return slowLinkChain
			}
			return healthyChain
		})
		So(changes, ShouldBeLessThanOrEqualTo, 2*int(time.Hour/DefaultMeasurementTTL))
	})
	Convey("A stage that slows down whenever it holds the most layers causes at most one move a minute", t, func() {
		p := newTestPlanner(healthyChain, model)
		changes := observeSeconds(p, &now, int(DefaultMinInterval/time.Second), func(int) Chain {
			chain := evenChain(4, 100, 10)
			largestStage := p.Plan().Partition.Stages[0]
			for _, s := range p.Plan().Partition.Stages {
				if s.Last-s.First > largestStage.Last-largestStage.First {
					largestStage = s
				}
			}
			chain.Accelerators[chain.acceleratorIndex(largestStage.Endpoint)].LayerMicros = 10_000
			return chain
		})
		So(changes, ShouldEqual, 1)
	})
	Convey("A missing engine is replaced at once, and an older plan is not adopted", t, func() {
		p := newTestPlanner(healthyChain, model)
		shorterChain := evenChain(4, 100, 10)
		shorterChain.Accelerators = shorterChain.Accelerators[:3]
		p.SetChain(shorterChain)
		plan, changed := p.Decide(now)
		So(changed, ShouldBeTrue)
		So(plan.Version, ShouldEqual, 2)
		p.Adopt(now, plan)
		p.Adopt(now, Plan{Version: 1})
		So(p.Plan().Version, ShouldEqual, 2)
	})
	Convey("A hop with unknown step time is divided in the declared proportion", t, func() {
		p := newTestPlanner(healthyChain, model)
		p.Observe(now, Measurement{Endpoint: "e0", Next: "e1", HopMicros: 620})
		chain := p.measuredChain(now)
		So(chain.Accelerators[0].LayerMicros, ShouldAlmostEqual, 200)
		So(chain.LinkMicros[0][1], ShouldAlmostEqual, 20)
	})
}

func TestLoadScheduling(t *testing.T) {
	model := Model{LayerBytes: 50}
	Convey("Only missing layers are fetched, at the rate of the weight store", t, func() {
		So(FetchBytes(model, Stage{"a", 0, 3}, Stage{"a", 0, 1}), ShouldEqual, 0)
		So(FetchBytes(model, Stage{"b", 4, 7}, Stage{"b", 4, 7}), ShouldEqual, 0)
		So(FetchBytes(model, Stage{"c", 0, -1}, Stage{"c", 2, 3}), ShouldEqual, 100)
		So(FetchBytes(model, Stage{"c", 6, 7}, Stage{"c", 2, 3}), ShouldEqual, 100)
		So(FetchBytes(model, Stage{"b", 4, 7}, Stage{"b", 2, 9}), ShouldEqual, 200)
		So(FetchTime(200, 100), ShouldEqual, 2*time.Second)
		So(FetchTime(200, 0), ShouldEqual, 0)
	})
	now := time.Unix(1000, 0)
	Convey("Loads of all plans are scheduled one after the other", t, func() {
		firstStarts, schedule := LoadSchedule{}.Reserve(now, []time.Duration{2 * time.Second, 0, time.Second})
		So(firstStarts, ShouldResemble, []time.Time{now, now, now.Add(2 * time.Second)})
		secondStarts, schedule := schedule.Reserve(now.Add(time.Second), []time.Duration{time.Second})
		So(secondStarts, ShouldResemble, []time.Time{now.Add(3 * time.Second)})
		So(schedule.Free(now.Add(3*time.Second)), ShouldBeFalse)
		So(schedule.Free(now.Add(4*time.Second)), ShouldBeTrue)
	})
	Convey("Reservations by a clock that is hours fast delay no load", t, func() {
		starts, schedule := LoadSchedule{BusyUntil: now.Add(2 * maxBusyAhead)}.Reserve(now, []time.Duration{time.Second})
		So(starts, ShouldResemble, []time.Time{now})
		So(schedule.BusyUntil, ShouldEqual, now.Add(time.Second))
	})
	Convey("One replica reloads at a time, and only while at least half of the others are ready", t, func() {
		So(MayReload(nil), ShouldBeTrue)
		So(MayReload([]ReplicaState{Ready, Ready}), ShouldBeTrue)
		So(MayReload([]ReplicaState{Ready, Loading, Ready}), ShouldBeFalse)
		So(MayReload([]ReplicaState{Ready, Unknown}), ShouldBeTrue)
		So(MayReload([]ReplicaState{Unknown}), ShouldBeFalse)
	})
}

func BenchmarkBestPartition(b *testing.B) {
	for _, size := range [][2]int{{4, 32}, {8, 80}, {16, 128}} {
		b.Run(fmt.Sprintf("engines=%d/layers=%d", size[0], size[1]), func(b *testing.B) {
			chain := evenChain(size[0], 100, 10)
			for b.Loop() {
				if _, err := BestPartition(Model{Layers: size[1], LayerBytes: 1}, chain); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
