package service

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// leavingStatement says whether an engine is leaving, according to one source.
type leavingStatement struct {
	endpoint string
	source   balance.Source
	leaving  bool
}

func documentWithChains(replicas ...string) *docindex.Index {
	doc := &document.Document{Teams: []document.Team{{Name: "menteng", Weight: 1}}}
	m := &document.Model{Layers: 8}
	for _, name := range replicas {
		r := document.Replica{Name: name}
		for _, stage := range []string{"a", "b"} {
			doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: name + stage, FailureDomain: "bandung"})
			r.Stages = append(r.Stages, document.Stage{Endpoint: name + stage})
		}
		m.Replicas = append(m.Replicas, r)
	}
	doc.Services = []document.Service{{Name: "pastry-llm", Kind: document.KindModel, Model: m}}
	return docindex.Build(doc, 1, "digest")
}

func (s *Service) apply(st leavingStatement) {
	if st.source == balance.SourceEndpoint {
		s.RecordLoad(st.endpoint, engineapi.Load{Draining: st.leaving})
		return
	}
	s.MarkLeaving(st.endpoint, st.source, st.leaving)
}

// isPicked reports whether the replica gets any of 200 requests.
func (s *Service) isPicked(replica string) bool {
	const draws = 200
	found := false
	for range draws {
		choice, ok := s.Picker.Pick(balance.Query{Cost: 1})
		if !ok {
			continue
		}
		s.Picker.Finished(choice.ReplicaID, balance.Result{Cost: 1, TimeToFirstToken: time.Millisecond})
		found = found || choice.ReplicaID == replica
	}
	return found
}

// If one leaving stage did not take its chain out of use, requests would be sent to the
// chain, and their answers would break when the stage stops. A chain is leaving while any
// source says that any of its stages is leaving.
func TestChainLeavesWithAnyStage(t *testing.T) {
	const platform, operator, endpoint = balance.SourcePlatform, balance.SourceOperator, balance.SourceEndpoint
	cases := []struct {
		name       string
		statements []leavingStatement
		picked     bool
	}{
		{"no stage leaves", nil, true},
		{"the first stage leaves", []leavingStatement{{"xa", platform, true}}, false},
		{"the second stage leaves", []leavingStatement{{"xb", platform, true}}, false},
		{"a stage itself reports that it leaves", []leavingStatement{{"xb", endpoint, true}}, false},
		{"the other stage stays", []leavingStatement{{"xa", platform, true}, {"xb", platform, false}}, false},
		{"the other stage reports that it stays", []leavingStatement{{"xa", endpoint, true}, {"xb", endpoint, false}}, false},
		{"another source says that the stage stays", []leavingStatement{{"xa", platform, true}, {"xa", endpoint, false}}, false},
		{"one of two marks is taken back", []leavingStatement{{"xa", platform, true}, {"xb", platform, true}, {"xa", platform, false}}, false},
		{"both marks are taken back", []leavingStatement{{"xa", platform, true}, {"xb", platform, true}, {"xa", platform, false}, {"xb", platform, false}}, true},
		{"all sources take their marks back", []leavingStatement{{"xa", platform, true}, {"xa", endpoint, true}, {"xa", platform, false}, {"xa", endpoint, false}}, true},
		{"a stage of another chain leaves", []leavingStatement{{"ya", operator, true}}, true},
		{"an engine that is in no document leaves", []leavingStatement{{"za", platform, true}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestService(documentWithChains("x", "y"))
			for _, st := range c.statements {
				s.apply(st)
			}
			if got := s.isPicked("x"); got != c.picked {
				t.Errorf("the chain is used: %t, want %t", got, c.picked)
			}
		})
	}
}

func newTestService(d *docindex.Index) *Service {
	r := NewRegistry(Config{Node: "entry-1", FailureDomain: "bandung", Now: time.Now})
	r.Apply(d)
	return r.Get("pastry-llm")
}

// If a leaving mark were kept after its chain was removed from the document, the chain
// would never be used again. The platform marks a stage as leaving, a new document removes
// the chain, and the platform takes the mark back. A later document contains the chain
// again.
func TestRemovedChainIsUsedAgainAfterItReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(Config{Node: "entry-1", FailureDomain: "bandung", Now: func() time.Time { return now }})
	r.Apply(documentWithChains("x", "y"))
	s := r.Get("pastry-llm")
	s.apply(leavingStatement{"xa", balance.SourcePlatform, true})
	r.Apply(documentWithChains("y"))
	s.apply(leavingStatement{"xa", balance.SourcePlatform, false})
	r.Apply(documentWithChains("x", "y"))
	s.apply(leavingStatement{"xb", balance.SourcePlatform, true})
	s.apply(leavingStatement{"xb", balance.SourcePlatform, false})
	now = now.Add(2 * balance.DefaultSlowStart) // during slow start a new replica gets few requests
	s.Picker.Refresh()
	if !s.isPicked("x") {
		t.Error("the chain that returned gets no requests")
	}
}

// If the replacement of an engine were not noticed, leaving marks of the old engine would
// keep the chain out of use and leaving marks of the new engine would be ignored. A
// document replaces one engine of a chain by another engine in the same failure domain.
// The balancer's list of replicas does not show this change.
func TestReplacedEngineNoLongerMarksChain(t *testing.T) {
	r := NewRegistry(Config{Node: "entry-1", FailureDomain: "bandung", Now: time.Now})
	r.Apply(documentWithChains("x", "y"))
	s := r.Get("pastry-llm")
	next := documentWithChains("x", "y")
	doc := *next.Document
	doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: "new", FailureDomain: "bandung"})
	doc.Services[0].Model.Replicas[0].Stages[1].Endpoint = "new"
	r.Apply(docindex.Build(&doc, 2, "digest"))
	s.apply(leavingStatement{"xb", balance.SourcePlatform, true})
	if !s.isPicked("x") {
		t.Error("a mark of the replaced engine keeps the chain out of use")
	}
	s.apply(leavingStatement{"new", balance.SourcePlatform, true})
	if s.isPicked("x") {
		t.Error("a mark of the new engine is ignored")
	}
}
