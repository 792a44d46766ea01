package targets

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// Guards against requests along a path through layers that the model does not have, and against a
// replica with an impossible span that keeps requests from sound ones.
func TestReplicasWithOddSpans(t *testing.T) {
	whole := layers.Span{To: testModel.Layers}
	for _, span := range []layers.Span{
		{From: 0, To: 9}, {From: 8, To: 9}, {From: -1, To: 8}, {From: 5, To: 3}, {From: 0, To: 1e9},
		{From: 0, To: math.MaxInt}, {From: math.MinInt, To: math.MaxInt}, {From: math.MinInt, To: 8}, {From: 8, To: math.MinInt},
	} {
		odd := newReplica("a0", span.From, span.To)
		m := NewModelTargets("entry-1", "d", 1, time.Now)
		m.Update(testModel, []*replicalist.Replica{odd, newReplica("a1", 0, 4), newReplica("b1", 4, 8)}, soleNode(10))
		target, err := m.Choose(context.Background(), Query{Tokens: 100})
		if err != nil {
			t.Errorf("%v beside sound replicas: %v", span, err)
			continue
		}
		path := target.Active.Path()
		if !path.Covers(whole) || path[0].Replica != "a1" {
			t.Errorf("%v beside sound replicas: %v", span, path)
		}
		m.Finish(target, Result{})
	}
}

// Guards against a sound replica that is not used because its list entry and the configuration are of
// different ages.
func TestReplicaIsUsedForTheLayersOfTheModel(t *testing.T) {
	larger := newReplica("b1", 4, 9)
	larger.CardKind = "large"
	m := NewModelTargets("entry-1", "d", 1, time.Now)
	model := *testModel
	model.CardKinds = map[string]ruleset.CardKind{"l4": testModel.CardKinds["l4"], "large": {MemoryMB: 700, StepTimeFactor: 1}}
	list := []*replicalist.Replica{newReplica("a1", 0, 4), larger}
	m.Update(&model, list, soleNode(10))
	if path := choose(t, m, 100).Active.Path(); path.String() != "a1:0-4 b1:4-8" {
		t.Errorf("path %v with 8 layers", path)
	}
	model.Layers = 9
	m.Update(&model, list, soleNode(10))
	if path := choose(t, m, 100).Active.Path(); path.String() != "a1:0-4 b1:4-9" {
		t.Errorf("path %v with 9 layers", path)
	}
}
