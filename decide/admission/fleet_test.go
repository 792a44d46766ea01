package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

// newFleet returns the fleet that the tests of this file simulate. Three nodes receive unequal shares
// of the calls and send them to six replicas with 16 slots each. A response takes 0.5 s,
// and callers wait at most 4 s for it.
func newFleet(offeredLoad float64, seed uint64) sim.FleetScenario {
	return sim.FleetScenario{
		NodeShares: []float64{0.4, 0.35, 0.25}, ReplicaCount: 6, SlotsPerReplica: 16, TokenTime: 20 * time.Millisecond, TokensPerAnswer: 25,
		TeamCount: 10, OfferedLoad: offeredLoad, CallerTimeout: 4 * time.Second, Duration: 23 * time.Second, Warmup: 3 * time.Second,
		Seed: seed,
	}
}

// outcomes holds the results of one or more runs, as the callers see them.
type outcomes struct {
	goodput, minGoodput        float64 // mean and minimum over the runs, as a fraction of the capacity
	refused, unanswered        int
	firstTokens, refusalDelays []time.Duration // time to first token, time to refusal
}

func (r *outcomes) percentile(delays []time.Duration, p int) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[len(delays)*p/100].Round(time.Millisecond)
}

func (r *outcomes) add(f sim.FleetScenario, runs int) {
	completed := 0
	for _, a := range sim.RunFleet(f) {
		switch {
		case a.Completed:
			completed++
			r.firstTokens = append(r.firstTokens, a.TimeToFirstToken)
		case a.Refused:
			r.refused++
			r.refusalDelays = append(r.refusalDelays, a.TotalTime)
		default:
			r.unanswered++
		}
	}
	goodput := float64(completed) / (f.Duration - f.Warmup).Seconds() / f.Capacity()
	r.goodput += goodput / float64(runs)
	r.minGoodput = min(r.minGoodput, goodput)
}

// simulate runs the given load with three seeds and returns the outcomes of the three runs
// together.
func simulate(t *testing.T, name string, offeredLoad float64, configure func(*sim.FleetScenario)) *outcomes {
	const runs = 3
	r := &outcomes{minGoodput: 9}
	for i := range uint64(runs) {
		f := newFleet(offeredLoad, *seed+i)
		configure(&f)
		r.add(f, runs)
	}
	t.Logf("%gx load, %-15s goodput/capacity %.3f, minimum %.3f; time to first token p50 %v p95 %v; refused %d, p99 of the time to refusal %v; unanswered %d",
		offeredLoad, name, r.goodput, r.minGoodput, r.percentile(r.firstTokens, 50), r.percentile(r.firstTokens, 95), r.refused, r.percentile(r.refusalDelays, 99), r.unanswered)
	return r
}

func TestNodesShareReplicas(t *testing.T) {
	// If nodes that share replicas counted only the free slots of the replicas, the number
	// of slots of each node would change by half within tenths of a second. Requests that
	// are admitted at a maximum of this number would be refused seconds later. At full
	// load, some requests would be refused while other nodes have free slots. A node learns
	// of the other nodes' load only from the replicas' reports.
	//
	// With round robin and no admission control, no request is refused, but in overload
	// hardly any caller gets a complete response.
	Convey("Given three nodes that share replicas", t, func() {
		coordinated := func(*sim.FleetScenario) {}
		uncoordinated := func(f *sim.FleetScenario) { f.HideNodeCountFromBalancers = true }
		roundRobin := func(f *sim.FleetScenario) { f.RoundRobin = true }
		Convey("at full load hardly any request is refused", func() {
			result := simulate(t, "coordinated", 1, coordinated)
			uncoordinatedResult := simulate(t, "free slots only", 1, uncoordinated)
			roundRobinResult := simulate(t, "round robin", 1, roundRobin)
			So(result.goodput, ShouldBeGreaterThan, roundRobinResult.goodput-0.01)
			So(result.percentile(result.firstTokens, 50), ShouldBeLessThan, roundRobinResult.percentile(roundRobinResult.firstTokens, 50)+20*time.Millisecond)
			So(result.percentile(result.firstTokens, 95), ShouldBeLessThan, time.Second)
			So(result.refused, ShouldBeLessThan, uncoordinatedResult.refused/4)
		})
		for _, load := range []float64{2, 4} {
			Convey(fmt.Sprintf("at %gx load the capacity is used and all other requests are refused at once", load), func() {
				result := simulate(t, "coordinated", load, coordinated)
				uncoordinatedResult := simulate(t, "free slots only", load, uncoordinated)
				roundRobinResult := simulate(t, "round robin", load, roundRobin)
				So(result.minGoodput, ShouldBeGreaterThanOrEqualTo, 0.95)
				So(roundRobinResult.goodput, ShouldBeLessThan, 0.2)
				So(result.percentile(result.refusalDelays, 99), ShouldBeLessThan, 10*time.Millisecond)
				So(uncoordinatedResult.percentile(uncoordinatedResult.refusalDelays, 99), ShouldBeGreaterThan, 500*time.Millisecond)
				So(result.unanswered, ShouldBeLessThan, (len(result.firstTokens)+result.refused)/2000)
			})
		}
	})
}

func TestNodesShareOnePrompt(t *testing.T) {
	// If all requests share one system prompt, they have the same prefix hash, and each node
	// prefers the replicas to which its hash ring maps this prefix. With one failure domain,
	// all nodes prefer the same replicas. With several domains, each node prefers replicas of
	// its own domain. The preferred replicas get up to a quarter more than the mean load. At
	// full load, requests then queue at these replicas while other replicas have idle slots,
	// and callers are refused although there is capacity.
	Convey("Given requests that share one prompt", t, func() {
		for _, domains := range []int{1, 3} {
			for _, load := range []float64{1, 2, 4} {
				Convey(fmt.Sprintf("with %d failure domains at %gx load the capacity is used", domains, load), func() {
					result := simulate(t, fmt.Sprintf("%d domains", domains), load, func(f *sim.FleetScenario) {
						f.SharedPrompt, f.DomainCount = true, domains
					})
					So(result.minGoodput, ShouldBeGreaterThanOrEqualTo, 0.95)
					So(result.unanswered, ShouldBeLessThan, (len(result.firstTokens)+result.refused)/200)
				})
			}
		}
	})
}

func TestRushFromNothing(t *testing.T) {
	// If a load of two or four times the capacity suddenly starts, each idle node sees
	// nearly all slots as free and predicts waits from them. Within a second the node has
	// only a third of these slots. It then refuses the waiting requests, after up to three
	// seconds. Nodes that served requests before also underestimate the demand of each
	// team, because they average this demand over ten seconds.
	Convey("Given idle nodes at the start of a rush", t, func() {
		for name, preload := range map[string]sim.Preload{
			"after the start": {},
			"after low load":  {OfferedLoad: 0.3, Duration: 8 * time.Second, IdleTime: 8 * time.Second},
			"after full load": {OfferedLoad: 1, Duration: 8 * time.Second, IdleTime: 8 * time.Second},
		} {
			for _, load := range []float64{2, 4} {
				Convey(fmt.Sprintf("%s, at %gx load nearly all refusals come at once from the first second on", name, load), func() {
					result := simulate(t, name, load, func(f *sim.FleetScenario) {
						f.SharedPrompt, f.DomainCount, f.Preload = true, 3, preload
						f.Warmup = preload.Duration + preload.IdleTime
						f.Duration = f.Warmup + 12*time.Second
					})
					lateRefusals := len(result.refusalDelays) - countBelow(result.refusalDelays, immediateRefusal)
					t.Logf("refused after more than %v: %d of %d", immediateRefusal, lateRefusals, len(result.refusalDelays))
					So(lateRefusals, ShouldBeLessThan, len(result.refusalDelays)/200)
					So(result.minGoodput, ShouldBeGreaterThan, 0.95)
				})
			}
		}
	})
}

// immediateRefusal is the longest time from a call to its refusal with which the refusal
// counts as immediate.
const immediateRefusal = 100 * time.Millisecond

func countBelow(delays []time.Duration, limit time.Duration) (n int) {
	for _, d := range delays {
		if d < limit {
			n++
		}
	}
	return n
}
