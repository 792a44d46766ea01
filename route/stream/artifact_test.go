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

// versionedFleet is a chooser over a fleet whose chains need artifacts of their own.
type versionedFleet struct {
	*fleet
	artifacts []engineapi.Artifact
}

func (v versionedFleet) Choose(ctx context.Context, exclude []string) (Chain, error) {
	chain, err := v.fleet.Choose(ctx, exclude)
	for i := range v.chains {
		if chain.Replica == v.chain(i).Replica {
			chain.Artifact = v.artifacts[i]
		}
	}
	return chain, err
}

// newVersionedFleet starts a chain for each artifact, whose engines hold it.
func newVersionedFleet(t *testing.T, cfg standin.Config, artifacts ...engineapi.Artifact) versionedFleet {
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
	return versionedFleet{f, artifacts}
}

func (v versionedFleet) request(stream string) Request {
	req := request(stream)
	req.Chooser = v
	return req
}

func expectedAnswerBy(a engineapi.Artifact, req Request) string {
	return strings.Join(standin.AnswerBy(a, req.Layers, req.Chat.Messages, req.Chat.MaxTokens), "")
}

// The caller gets one version's answer to the last byte. Its chain dies partway
// while a new version is rolled out; the next replica has the new weights already,
// works, and would go on with plausible tokens of another answer. Only the third
// has the weights that the answer began with.
func TestAnswerStaysWithItsVersion(t *testing.T) {
	old, next := engineapi.Artifact{Weights: "v1"}, engineapi.Artifact{Weights: "v2"}
	Convey("The resume passes over the other version", t, func() {
		v := newVersionedFleet(t, fastEngine, old, next, old)
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

// The caller gets one version's answer to the last byte. A later stage ignores
// fencing numbers and takes an order for other weights in the middle of the answer;
// what it reported before is still trusted. Its next span names the weights, and the
// token is not delivered.
func TestWeightsChangeMidAnswer(t *testing.T) {
	old := engineapi.Artifact{Weights: "v1"}
	Convey("The span tells", t, func() {
		v := newVersionedFleet(t, fastEngine, old, old)
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

// The caller gets the adapter's answer. An engine has dropped the adapter for want
// of memory and told nobody. If it is asked it says so and nothing is sent; within
// the time that a report is trusted an engine that checks refuses, and one that does
// not runs the bare model, which its first span tells.
func TestAdapterIsLost(t *testing.T) {
	withNotes := engineapi.Artifact{Weights: "v1", Adapter: notesAdapter.String()}
	cases := []struct {
		name    string
		checks  bool
		trusted bool // the engine has been asked a moment ago
		end     End
	}{
		{"asked before use", false, false, EndMismatch},
		{"an engine that checks", true, true, EndRefused},
		{"an engine that does not check", false, true, EndInvalidToken},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			cfg := fastEngine
			cfg.CheckFencing = c.checks
			v := newVersionedFleet(t, cfg, withNotes, withNotes)
			defer v.stop()
			if c.trusted {
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
			// Found once, it is not tried again while it is without the adapter.
			v.results = nil
			_, _, err = v.collect(context.Background(), v.request("later"), nil)
			So(err, ShouldBeNil)
			So(v.results[0].End, ShouldEqual, EndMismatch)
		})
	}
}

// Callers wait for a prompt computed anew on a chain that was taken to have it
// cached: a later stage has lost its cache, and the first one, whose events are read,
// has not. The next report before work is sent names another cache.
func TestLaterStageLosesItsCache(t *testing.T) {
	Convey("Each loss is told once", t, func() {
		var mu sync.Mutex
		var lost []string
		f := newFleet(t, 1, fastEngine, Options{ReportTTL: 1, OnCacheLost: func(model, replica string) {
			mu.Lock()
			defer mu.Unlock()
			lost = append(lost, model+"/"+replica)
		}})
		defer f.stop()
		run := func(stream string) {
			_, _, err := f.collect(context.Background(), request(stream), nil)
			So(err, ShouldBeNil)
		}
		run("first")
		run("second")
		So(lost, ShouldBeEmpty)
		f.chains[0][1].Engine.DropCache()
		run("third")
		run("fourth")
		So(lost, ShouldResemble, []string{testModel + "/replica-0"})
	})
}

// The caller is answered by an engine that works on prompts and on answers. Someone
// has ordered the first one to do prompts only; it says so before work is sent.
func TestOtherRoleIsNotUsed(t *testing.T) {
	Convey("Another chain is taken", t, func() {
		v := newVersionedFleet(t, fastEngine, engineapi.Artifact{}, engineapi.Artifact{})
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
