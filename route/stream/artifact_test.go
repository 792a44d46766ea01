package stream

import (
	"context"
	"strings"
	"sync"
	"testing"

	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

var notesAdapter = engineapi.Adapter{Name: "notes", Version: "1"}

// fleetWithArtifacts is a fleet whose chains may have different artifacts. The fleet is also the
// chooser that returns these chains.
type fleetWithArtifacts struct {
	*fleet
	artifacts []engineapi.Artifact
}

func (v fleetWithArtifacts) Choose(ctx context.Context, excludedReplicas []string) (Chain, error) {
	chain, err := v.fleet.Choose(ctx, excludedReplicas)
	for i := range v.chains {
		if chain.Replica == v.chain(i).Replica {
			chain.Artifact = v.artifacts[i]
		}
	}
	return chain, err
}

// newFleetWithArtifacts starts one chain for each artifact. The chain's engines hold that
// artifact.
func newFleetWithArtifacts(t *testing.T, cfg standin.Config, artifacts ...engineapi.Artifact) fleetWithArtifacts {
	f := newFleet(t, 0, cfg, Options{})
	for _, a := range artifacts {
		cfg.Weights = a.Weights
		f.chains = append(f.chains, [2]*standin.Server{
			f.start(cfg, 0, testLayers/2-1),
			f.start(cfg, testLayers/2, testLayers-1),
		})
		for _, srv := range f.chains[len(f.chains)-1] {
			if a.Adapter != "" {
				So(srv.Engine.OrderAdapters(engineapi.AdapterOrder{Adapters: []engineapi.Adapter{notesAdapter}, Version: 1}), ShouldBeNil)
			}
		}
	}
	return fleetWithArtifacts{f, artifacts}
}

func (v fleetWithArtifacts) request(stream string) Request {
	req := request(stream)
	req.Chooser = v
	return req
}

func expectedAnswerBy(a engineapi.Artifact, req Request) string {
	return strings.Join(standin.AnswerBy(a, req.Layers, req.Chat.Messages, req.Chat.MaxTokens), "")
}

// Without the artifact check, a resumed answer could mix two versions of the weights. The
// first chain fails during a rollout. The second chain is healthy but already has the new
// weights. Only the third chain has the weights that the answer began with.
func TestAnswerStaysWithItsVersion(t *testing.T) {
	old, next := engineapi.Artifact{Weights: "v1"}, engineapi.Artifact{Weights: "v2"}
	Convey("The resume skips the chain with the other version", t, func() {
		v := newFleetWithArtifacts(t, fastEngine, old, next, old)
		defer v.stop()
		req := v.request("roll-out")
		answer, summary, err := v.collect(context.Background(), req, func(position int) {
			if position == testTokens/2 {
				v.chains[0][1].Kill()
			}
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswerBy(old, req))
		So(summary.Epochs, ShouldEqual, 3)
		So(v.results[1].End, ShouldEqual, EndMismatch)
		So(v.chains[1][0].Engine.Stats().Opened, ShouldEqual, 0)
	})
}

// A later stage ignores fencing numbers and loads other weights in the middle of an
// answer, while its earlier engine report is still cached. The stage's next span names the
// new weights, and the token must not be delivered.
func TestWeightsChangeMidAnswer(t *testing.T) {
	old := engineapi.Artifact{Weights: "v1"}
	Convey("The span shows the change", t, func() {
		v := newFleetWithArtifacts(t, fastEngine, old, old)
		defer v.stop()
		var once sync.Once
		req := v.request("mid-answer")
		answer, summary, err := v.collect(context.Background(), req, func(position int) {
			if position < testTokens/2 {
				return
			}
			once.Do(func() {
				So(v.chains[0][1].Engine.Order(engineapi.Order{
					Model: testModel, Weights: "v2", First: testLayers / 2, Last: testLayers - 1, PlacementVersion: 1,
				}), ShouldBeNil)
			})
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswerBy(old, req))
		So(summary.Recoveries[0].Reason, ShouldEqual, WrongArtifact)
	})
}

// An engine drops an adapter for lack of memory without reporting it. In each of three
// cases the caller must get the answer that the adapter generates. If the engine is asked
// for a report, the report shows the loss and nothing is sent. If an older report is
// cached and the engine checks fencing numbers, the engine refuses the stream. An engine
// that does not check fencing numbers runs the model without the adapter, and the engine's
// first span shows the loss.
func TestAdapterIsLost(t *testing.T) {
	withNotes := engineapi.Artifact{Weights: "v1", Adapter: notesAdapter.String()}
	cases := []struct {
		name          string
		checksFencing bool
		reportCached  bool // the engine's report from before the loss is cached
		end           End
	}{
		{"engine asked before use", false, false, EndMismatch},
		{"an engine that checks", true, true, EndRefused},
		{"an engine that does not check", false, true, EndInvalidToken},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			cfg := fastEngine
			cfg.CheckFencing = c.checksFencing
			v := newFleetWithArtifacts(t, cfg, withNotes, withNotes)
			defer v.stop()
			if c.reportCached {
				before := v.request("before")
				answer, _, err := v.collect(context.Background(), before, nil)
				So(err, ShouldBeNil)
				So(answer, ShouldEqual, expectedAnswerBy(withNotes, before))
			}
			v.chains[0][1].Engine.DropAdapters()
			v.results = nil
			req := v.request("after")
			answer, _, err := v.collect(context.Background(), req, nil)
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswerBy(withNotes, req))
			So(v.results[0].End, ShouldEqual, c.end)
			So(v.chains[0][0].Engine.Stats().Opened, ShouldBeLessThanOrEqualTo, 2)
			// The chain is not tried again while the adapter is missing.
			v.results = nil
			_, _, err = v.collect(context.Background(), v.request("later"), nil)
			So(err, ShouldBeNil)
			So(v.results[0].End, ShouldEqual, EndMismatch)
		})
	}
}

// OnCacheLost must be called once if a later stage loses its prefix cache. Otherwise
// prompts would still be routed to the chain for that cache and be recomputed, because
// cache events are read only from the first stage, which has lost nothing. The later
// stage's next engine report names another cache.
func TestLaterStageLosesItsCache(t *testing.T) {
	Convey("Each loss is reported once", t, func() {
		var mu sync.Mutex
		var replicasWithLostCache []string
		f := newFleet(t, 1, fastEngine, Options{ReportTTL: 1, OnCacheLost: func(model, replica string) {
			mu.Lock()
			defer mu.Unlock()
			replicasWithLostCache = append(replicasWithLostCache, model+"/"+replica)
		}})
		defer f.stop()
		run := func(stream string) {
			_, _, err := f.collect(context.Background(), request(stream), nil)
			So(err, ShouldBeNil)
		}
		run("first")
		run("second")
		So(replicasWithLostCache, ShouldBeEmpty)
		f.chains[0][1].Engine.DropCache()
		run("third")
		run("fourth")
		So(replicasWithLostCache, ShouldResemble, []string{testModel + "/replica-0"})
	})
}

// An engine with the prefill role cannot run a whole answer. The engine's report names the
// role, so the stream must be sent to another chain.
func TestOtherRoleIsNotUsed(t *testing.T) {
	Convey("Another chain is used", t, func() {
		v := newFleetWithArtifacts(t, fastEngine, engineapi.Artifact{}, engineapi.Artifact{})
		defer v.stop()
		So(v.chains[0][0].Engine.Order(engineapi.Order{
			Model: testModel, First: 0, Last: testLayers/2 - 1, PlacementVersion: 1, Role: engineapi.RolePrefill,
		}), ShouldBeNil)
		req := v.request("role")
		answer, _, err := v.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(v.results[0].End, ShouldEqual, EndMismatch)
	})
}
