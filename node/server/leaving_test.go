package server

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/store"
)

// ofReplicas is a service of replicas gpu-0 and so on, each an endpoint.
func ofReplicas(n int) *docindex.Index {
	doc := &document.Document{Teams: []document.Team{{Name: "menteng", Weight: 1}}}
	m := &document.Model{Layers: 8}
	for i := range n {
		name := fmt.Sprint("gpu-", i)
		doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: name, FailureDomain: "bandung"})
		m.Replicas = append(m.Replicas, document.Replica{Name: name, Stages: []document.Stage{{Endpoint: name}}})
	}
	doc.Services = []document.Service{{Name: "pastry-llm", Kind: document.KindModel, Model: m}}
	return docindex.Build(doc, 1, "digest")
}

// used counts the replicas that get any of many requests.
func used(s *service.Service) int {
	chosen := map[string]bool{}
	for range 200 {
		if c, ok := s.Picker.Pick(balance.Query{Cost: 1}); ok {
			s.Picker.Finished(c.ReplicaID, balance.Result{Cost: 1, TimeToFirstToken: time.Millisecond})
			chosen[c.ReplicaID] = true
		}
	}
	return len(chosen)
}

// A peer that reads a wrong list says of every endpoint that it leaves. Callers
// would find the service without any. Notices of peers take away a quarter of the
// replicas at most; what the node's own list says, and what is taken back, holds
// for each of them.
func TestNoticesTakeAPartOfAService(t *testing.T) {
	registry := service.NewRegistry(service.Config{Now: time.Now})
	registry.Apply(ofReplicas(8))
	pastry := registry.Get("pastry-llm")
	list := newLeavingList(registry, hclog.NewNullLogger())
	say := func(confirmed, hints int) func() []drainnotice.Endpoint {
		return func() (all []drainnotice.Endpoint) {
			for i := range confirmed + hints {
				all = append(all, drainnotice.Endpoint{Name: fmt.Sprint("gpu-", i), Confirmed: i < confirmed})
			}
			return all
		}
	}
	for _, c := range []struct{ confirmed, hints, used int }{
		{0, 8, 6}, {0, 1, 7}, {3, 5, 3}, {0, 0, 8}, {7, 0, 1},
	} {
		list.follow(say(c.confirmed, c.hints))
		if got := used(pastry); got != c.used {
			t.Errorf("%d confirmed and %d hints leave %d of 8 replicas in use, want %d", c.confirmed, c.hints, got, c.used)
		}
	}
	registry.Apply(ofReplicas(1))
	list.follow(say(0, 1))
	if used(pastry) != 1 {
		t.Error("a hint takes the only replica")
	}
	list.follow(say(1, 0))
	if used(pastry) != 0 {
		t.Error("the only replica is used though it leaves")
	}
}

// changes is a store whose list is read from a revision on.
type changes struct {
	entries []store.Entry
	since   []int64
	err     error
}

func (c *changes) Changed(_ context.Context, _ string, since int64) ([]store.Entry, int64, error) {
	c.since = append(c.since, since)
	if c.err != nil {
		return nil, 0, c.err
	}
	return c.entries, since + 10, nil
}

// A node reads the list whole once and then what has changed. A failed read must
// not lose the changes before it, and an entry that can't be read must not hide
// the others.
func TestEndpointListReadsWhatChanged(t *testing.T) {
	source := &changes{entries: []store.Entry{
		{Key: endpointVMs + "gpu-1", Value: []byte(`{"name":"gpu-1","state":"leaving"}`), Revision: 4},
		{Key: endpointVMs + "gpu-2", Value: []byte(`{"name":`), Revision: 5},
		{Key: endpointVMs + "gpu-3", Value: []byte(`{"name":"gpu-3","state":"live"}`), Revision: 6},
	}}
	list := &endpointList{store: source}
	got, err := list.read(context.Background())
	want := fmt.Sprint(drainnotice.Listed{VMs: []drainnotice.VM{{Name: "gpu-1", Revision: 4, Leaving: true}, {Name: "gpu-3", Revision: 6}}, Revision: 10})
	if err != nil || fmt.Sprint(got) != want {
		t.Fatalf("read %v, %v, want %s", got, err, want)
	}
	source.err = errors.New("down")
	if _, err := list.read(context.Background()); !errors.Is(err, source.err) {
		t.Errorf("error %v", err)
	}
	source.err = nil
	if got, err := list.read(context.Background()); err != nil || got.Revision != 20 {
		t.Errorf("read up to %d, %v", got.Revision, err)
	}
	if fmt.Sprint(source.since) != "[0 10 10]" {
		t.Errorf("asked since %v", source.since)
	}
}

// A large fleet is started at once. Its nodes' looks must not come in step from then
// on, with seconds in between in which no node sees that an endpoint leaves; and
// all together they look no more than 20 times a second.
func TestLooksFallAtRandom(t *testing.T) {
	const nodes, windows, window = 1000, 20, 5 * time.Second
	looks := make([]int, windows)
	for range nodes {
		for at := leavingPause(nodes); at < windows*window; at += leavingPause(nodes) {
			looks[int(at/window)]++
		}
	}
	sum := 0
	for i, n := range looks {
		sum += n
		if n == 0 {
			t.Errorf("no node looks from %v on", time.Duration(i)*window)
		}
	}
	if mean := float64(sum) / (windows * window.Seconds()); mean > 25 {
		t.Errorf("%.1f looks a second", mean)
	}
}
