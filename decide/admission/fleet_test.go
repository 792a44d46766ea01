package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

// fleetOf is the bench's load on its replicas: three nodes, to which callers go
// unevenly, before 96 slots. Callers wait 4 s for an answer that takes 0.5 s.
func fleetOf(offered float64, seed uint64) sim.Fleet {
	return sim.Fleet{
		NodeShares: []float64{0.4, 0.35, 0.25}, ReplicaCount: 6, SlotsPerReplica: 16, TokenTime: 20 * time.Millisecond, TokensPerAnswer: 25,
		TeamCount: 10, OfferedLoad: offered, CallerTimeout: 4 * time.Second, Duration: 23 * time.Second, Warmup: 3 * time.Second,
		Seed: seed,
	}
}

// received is what the callers of one or more runs saw.
type received struct {
	goodput, least float64 // mean and worst run, over the bound
	refused, vain  int
	first, told    []time.Duration // delay of the first token, of the refusals
}

func (r *received) percentile(of []time.Duration, p int) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)*p/100].Round(time.Millisecond)
}

func (r *received) add(f sim.Fleet, runs int) {
	whole := 0
	for _, a := range sim.RunFleet(f) {
		switch {
		case a.Completed:
			whole++
			r.first = append(r.first, a.TimeToFirstToken)
		case a.Refused:
			r.refused++
			r.told = append(r.told, a.TotalTime)
		default:
			r.vain++
		}
	}
	goodput := float64(whole) / (f.Duration - f.Warmup).Seconds() / f.Capacity()
	r.goodput += goodput / float64(runs)
	r.least = min(r.least, goodput)
}

// play runs the load with some seeds.
func play(t *testing.T, name string, offered float64, change func(*sim.Fleet)) *received {
	const runs = 3
	r := &received{least: 9}
	for i := range uint64(runs) {
		f := fleetOf(offered, *seed+i)
		change(&f)
		r.add(f, runs)
	}
	t.Logf("%gx, %-15s goodput/bound %.3f, least %.3f; first token p50 %v p95 %v; refused %d, p99 after %v; in vain %d",
		offered, name, r.goodput, r.least, r.percentile(r.first, 50), r.percentile(r.first, 95), r.refused, r.percentile(r.told, 99), r.vain)
	return r
}

func TestNodesShareReplicas(t *testing.T) {
	// Callers see: an answer, or at once that there is none. Three nodes share
	// replicas and know of each other by reports only. By free slots alone a
	// node's share swings by half within tenths of a second: callers admitted at
	// its height are given up seconds later at its low, and at exactly the bound
	// some are refused while other nodes have room. In turn to the replicas,
	// without nodes, nobody is refused, and in overload nobody is answered.
	Convey("Given three nodes before common replicas", t, func() {
		nodes := func(*sim.Fleet) {}
		strangers := func(f *sim.Fleet) { f.HideNodeCountFromBalancers = true }
		inTurn := func(f *sim.Fleet) { f.RoundRobin = true }
		Convey("at the bound nearly nobody is refused", func() {
			good, free, turns := play(t, "nodes", 1, nodes), play(t, "free slots only", 1, strangers), play(t, "in turn", 1, inTurn)
			So(good.goodput, ShouldBeGreaterThan, turns.goodput-0.01)
			So(good.percentile(good.first, 50), ShouldBeLessThan, turns.percentile(turns.first, 50)+20*time.Millisecond)
			So(good.percentile(good.first, 95), ShouldBeLessThan, time.Second)
			So(good.refused, ShouldBeLessThan, free.refused/4)
		})
		for _, x := range []float64{2, 4} {
			Convey(fmt.Sprintf("at %gx the bound is served and the others are told at once", x), func() {
				good, free, turns := play(t, "nodes", x, nodes), play(t, "free slots only", x, strangers), play(t, "in turn", x, inTurn)
				So(good.least, ShouldBeGreaterThanOrEqualTo, 0.95)
				So(turns.goodput, ShouldBeLessThan, 0.2)
				So(good.percentile(good.told, 99), ShouldBeLessThan, 10*time.Millisecond)
				So(free.percentile(free.told, 99), ShouldBeGreaterThan, 500*time.Millisecond)
				So(good.vain, ShouldBeLessThan, (len(good.first)+good.refused)/2000)
			})
		}
	})
}

func TestNodesShareOnePrompt(t *testing.T) {
	// Callers see: refusals, while a part of the engines stands idle. All ask with
	// one system prompt, so that each node has the same replicas for it, or those
	// of its own failure domain. These get up to a quarter more than the mean; at
	// full load that is a queue there and idle slots elsewhere.
	Convey("Given callers who share one prompt", t, func() {
		for _, domains := range []int{1, 3} {
			for _, x := range []float64{1, 2, 4} {
				Convey(fmt.Sprintf("with %d failure domains at %gx the bound is served", domains, x), func() {
					good := play(t, fmt.Sprintf("%d domains", domains), x, func(f *sim.Fleet) {
						f.SharedPrompt, f.DomainCount = true, domains
					})
					So(good.least, ShouldBeGreaterThanOrEqualTo, 0.95)
					So(good.vain, ShouldBeLessThan, (len(good.first)+good.refused)/200)
				})
			}
		}
	})
}

func TestRushFromNothing(t *testing.T) {
	// Callers see: a refusal after three seconds. Two or four times the bound comes
	// in at once, at nodes that have nothing to do. Each sees nearly all slots free
	// and takes what it can, foretells waits by it and lets callers wait; within a
	// second it has a third of that, and gives them up. Nodes that have served before
	// moreover know each team's demand by the last ten seconds only.
	Convey("Given nodes without load to which a rush comes", t, func() {
		for name, before := range map[string]sim.Preload{
			"just started": {},
			"after a calm": {OfferedLoad: 0.3, Duration: 8 * time.Second, Pause: 8 * time.Second},
			"after a rush": {OfferedLoad: 1, Duration: 8 * time.Second, Pause: 8 * time.Second},
		} {
			for _, x := range []float64{2, 4} {
				Convey(fmt.Sprintf("%s, at %gx nearly all refusals are told at once from the first second on", name, x), func() {
					good := play(t, name, x, func(f *sim.Fleet) {
						f.SharedPrompt, f.DomainCount, f.Preload = true, 3, before
						f.Warmup = before.Duration + before.Pause
						f.Duration = f.Warmup + 12*time.Second
					})
					late := len(good.told) - countBelow(good.told, atOnce)
					t.Logf("refused later than after %v: %d of %d", atOnce, late, len(good.told))
					So(late, ShouldBeLessThan, len(good.told)/200)
					So(good.least, ShouldBeGreaterThan, 0.95)
				})
			}
		}
	})
}

// atOnce is the most that a refusal may take that counts as told at once.
const atOnce = 100 * time.Millisecond

func countBelow(all []time.Duration, limit time.Duration) (n int) {
	for _, d := range all {
		if d < limit {
			n++
		}
	}
	return n
}
