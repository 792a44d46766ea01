package layerplans

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

const (
	model  = "pastry-llm"
	layers = 8
)

var startTime = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// fakeEngines are simulated engines, by address. The address of an engine is its name.
type fakeEngines struct {
	now         time.Time
	holdings    map[string]engineapi.Holding
	orderedAt   map[string]time.Duration // time of an engine's last order for other layers
	unreachable map[string]bool
	// loadTime is the duration of a load. During a load, an engine reports its old layers.
	loadTime time.Duration
	loading  map[string]pendingLoad
	// runningStreams is the number of streams of each engine. ordersWhileStreaming counts
	// the orders for other weights that engines got while streams ran. Loads of
	// brokenVersion always fail.
	runningStreams       map[string]int
	ordersWhileStreaming int
	brokenVersion        string
	// adapters has the last adapter order of each engine, and adapterOrderTimes the times of
	// all adapter orders.
	adapters          map[string]engineapi.AdapterOrder
	useCounts         map[string]uint64
	adapterOrderTimes []time.Duration
}

type pendingLoad struct {
	order   engineapi.Order
	readyAt time.Time
}

func (f *fakeEngines) HoldingReport(_ context.Context, address string) (engineapi.Report, error) {
	if f.unreachable[address] {
		return engineapi.Report{}, errors.New("no answer")
	}
	if l, ok := f.loading[address]; ok && !f.now.Before(l.readyAt) {
		f.holdings[address] = engineapi.Holding(l.order)
	}
	return engineapi.Report{
		Holding: f.holdings[address], Running: f.runningStreams[address], Uses: f.useCounts,
		Adapters: f.adapters[address].Adapters, AdapterVersion: f.adapters[address].Version,
	}, nil
}

func (f *fakeEngines) OrderAdapters(_ context.Context, address string, order engineapi.AdapterOrder) error {
	if order.Version < f.adapters[address].Version {
		return &engineclient.SendError{Endpoint: address, HTTPStatus: http.StatusConflict}
	}
	f.adapters[address] = order
	f.adapterOrderTimes = append(f.adapterOrderTimes, f.now.Sub(startTime))
	return nil
}

func (f *fakeEngines) Order(_ context.Context, address string, order engineapi.Order) error {
	if order.Role == engineapi.RoleDrain {
		delete(f.loading, address)
		f.holdings[address] = engineapi.Holding(order)
		return nil
	}
	if f.holdings[address].Weights != "" && f.holdings[address].Weights != order.Weights && f.runningStreams[address] > 0 {
		f.ordersWhileStreaming++
	}
	if order.Weights == f.brokenVersion && order.Weights != "" {
		delete(f.loading, address)
		f.holdings[address] = engineapi.Holding{Last: -1, PlacementVersion: order.PlacementVersion}
		return nil
	}
	if f.loading[address].order != order || f.loadTime == 0 {
		f.loading[address] = pendingLoad{order, f.now.Add(f.loadTime)}
		f.orderedAt[address] = f.now.Sub(startTime)
	}
	if f.loadTime == 0 {
		f.holdings[address] = engineapi.Holding(order)
	}
	return nil
}

// Record implements decisionlog.Recorder.
func (f *fakeEngines) Record(decisionlog.Decision) {}

// cluster has replicas of three engines each, spread over failure domains, and one
// controller for each domain.
type cluster struct {
	*fakeEngines
	controllers []*Controller
}

func newCluster(t *testing.T, replicas, domains, storeMBPerSecond int) *cluster {
	return clusterOf(t, documentOf(replicas, domains, storeMBPerSecond), domains)
}

func clusterOf(t *testing.T, doc *document.Document, domains int) *cluster {
	memory := storetest.NewMemory()
	t.Cleanup(memory.Close)
	d := docindex.Build(doc, 1, "digest")
	s := &cluster{fakeEngines: &fakeEngines{now: startTime, holdings: map[string]engineapi.Holding{}, orderedAt: map[string]time.Duration{}, unreachable: map[string]bool{}, loading: map[string]pendingLoad{}, runningStreams: map[string]int{}, adapters: map[string]engineapi.AdapterOrder{}}}
	for i := range domains {
		client := storetest.NewClient(memory)
		cache := NewCache(client, "java", hclog.NewNullLogger())
		cache.Apply(d)
		k := NewController(ControllerConfig{
			Node: fmt.Sprint("vm-", i), Environment: "java", Store: client, EngineClient: s.fakeEngines, Cache: cache,
			Recorder: s.fakeEngines, Log: hclog.NewNullLogger(),
			IsOwner:           func(_, domain string) bool { return domain == domainName(i) },
			MembershipVersion: func() any { return 0 },
		})
		k.Apply(d)
		s.controllers = append(s.controllers, k)
	}
	return s
}

func domainName(i int) string { return fmt.Sprint("domain-", i) }

func documentOf(replicas, domains, storeMBPerSecond int) *document.Document {
	doc := &document.Document{Policy: document.Policy{WeightMegabytesPerSecond: storeMBPerSecond}}
	m := &document.Model{Layers: layers, LayerMegabytes: 1}
	for i := range replicas {
		r := document.Replica{Name: fmt.Sprint("replica-", i)}
		for _, stage := range []string{"a", "b", "c"} {
			name := fmt.Sprint("engine-", i, stage)
			doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: name, Address: name, FailureDomain: domainName(i % domains)})
			r.Stages = append(r.Stages, document.Stage{Endpoint: name})
		}
		m.Replicas = append(m.Replicas, r)
	}
	doc.Services = []document.Service{{Name: model, Kind: document.KindModel, Model: m}}
	return doc
}

// runRounds runs rounds, one a second. After each round it counts the replicas that do not
// hold the layers of their plans. It returns the highest count from round countFrom on.
func (s *cluster) runRounds(rounds, countFrom int, beforeRound func()) int {
	maxNotReady := 0
	for round := range rounds {
		beforeRound()
		for _, k := range s.controllers {
			k.round(context.Background(), s.now)
		}
		if round >= countFrom {
			maxNotReady = max(maxNotReady, s.notReady())
		}
		s.now = s.now.Add(time.Second)
	}
	return maxNotReady
}

func (s *cluster) notReady() int {
	n := 0
	for _, k := range s.controllers {
		for name := range k.replicas {
			stages, version, _ := k.cfg.Cache.Plan(name.model, name.replica)
			if slices.ContainsFunc(stages, func(st document.Stage) bool {
				want := engineapi.Holding{Model: model, First: st.Layers[0], Last: st.Layers[1], PlacementVersion: version}
				return s.holdings[st.Endpoint] != want
			}) {
				n++
			}
		}
	}
	return n
}

func noAction() {}

// If each node scheduled its loads on its own, the loads of two failure domains would
// share the weight store's rate, and no replica would serve until all are loaded. Two
// failure domains restart without layers, each managed by another node. With a common
// schedule, the first replica serves after the time of its own loads.
func TestDomainsShareLoadSchedule(t *testing.T) {
	s := newCluster(t, 2, 2, 1)
	s.runRounds(2*layers+4, 0, noAction)
	ordered := slices.Sorted(maps.Values(s.orderedAt))
	if len(ordered) < 4 || s.notReady() != 0 {
		t.Fatalf("loads ordered at %v, %d replicas not ready", ordered, s.notReady())
	}
	t.Logf("loads begin at %v", ordered)
	// Each engine loads some of 8 layers of 1 MB; the rate is 1 MB a second.
	minLoadedAt := time.Duration(0)
	for _, at := range ordered {
		if at < minLoadedAt {
			t.Errorf("a load begins at %v, but the loads before it end at %v: %v", at, minLoadedAt, ordered)
		}
		minLoadedAt += s.shortestLoad() // each load takes at least this long
	}
	loadCount := len(s.orderedAt)
	clear(s.holdings) // all engines restart without layers
	clear(s.loading)
	clear(s.orderedAt)
	restartedAt := s.now.Sub(startTime)
	s.runRounds(2*layers+4, 0, noAction)
	ordered = slices.Sorted(maps.Values(s.orderedAt))
	if len(ordered) != loadCount || ordered[loadCount-1] < restartedAt+layers*time.Second {
		t.Errorf("restarted at %v, loads ordered at %v, too close together", restartedAt, ordered)
	}
}

// shortestLoad returns the load time of the engine with the fewest layers, at one layer a
// second.
func (s *cluster) shortestLoad() time.Duration {
	fewestLayers := layers
	for _, h := range s.holdings {
		fewestLayers = min(fewestLayers, h.Last-h.First+1)
	}
	return time.Duration(fewestLayers) * time.Second
}

// If all replicas reloaded at the same time, no replica would serve. A faulty switch
// slows down the same link of all three replicas, so all plans change in the same second.
// A new plan stops its replica until the layers are loaded.
func TestReplicasReloadOneAtATime(t *testing.T) {
	s := newCluster(t, 3, 1, 0)
	s.loadTime = 3 * time.Second
	k := s.controllers[0]
	s.runRounds(3*layers+6, 0, noAction)
	versions := func() (sum int64) {
		for i := range 3 {
			_, v, _ := k.cfg.Cache.Plan(model, fmt.Sprint("replica-", i))
			sum += v
		}
		return sum
	}
	before := versions()
	observe := func() { s.observeHops(k) }
	maxNotReady := s.runRounds(120, 0, observe)
	if maxNotReady != 1 {
		t.Errorf("%d replicas reloaded at once, want 1", maxNotReady)
	}
	if after := versions(); after <= before+2 || s.notReady() != 0 {
		t.Errorf("not all plans changed: sum of versions %d, then %d; %d replicas not ready", before, after, s.notReady())
	}
}

// observeHops reports the times of each replica's hops: 1 ms per layer, and 50 ms for the
// link from the first to the second engine.
func (s *cluster) observeHops(k *Controller) {
	for i := range 3 {
		name := fmt.Sprint("replica-", i)
		stages, _, _ := k.cfg.Cache.Plan(model, name)
		var hops []stream.Hop
		for j, st := range stages {
			micros := 1000 * float64(st.Layers[1]-st.Layers[0]+1)
			if j+1 < len(stages) && st.Endpoint == fmt.Sprint("engine-", i, "a") && stages[j+1].Endpoint == fmt.Sprint("engine-", i, "b") {
				micros += 50_000
			}
			hops = append(hops, stream.Hop{Endpoint: st.Endpoint, MeanMicros: micros})
		}
		k.Observe(model, name, hops)
	}
}

// If a better plan stopped the last serving replica, callers would find no replica. The
// engines of the other two replicas do not answer.
func TestLastServingReplicaIsNotReloaded(t *testing.T) {
	s := newCluster(t, 3, 1, 1)
	k := s.controllers[0]
	s.runRounds(3*layers+6, 0, noAction)
	for _, i := range []int{1, 2} {
		for _, stage := range []string{"a", "b", "c"} {
			s.unreachable[fmt.Sprint("engine-", i, stage)] = true
		}
	}
	s.runRounds(10, 0, noAction) // each engine is checked once
	_, before, _ := k.cfg.Cache.Plan(model, "replica-0")
	s.runRounds(60, 0, func() { s.observeHops(k) })
	if _, after, _ := k.cfg.Cache.Plan(model, "replica-0"); after != before {
		t.Errorf("the last serving replica was stopped for version %d", after)
	}
}

// If the whole time of a hop counted as time of the layers, a plan would leave out a fast
// engine because the link after the engine is slow. Here a link becomes slow, but the
// engine reports that the time of its layers has not changed. The new plan must avoid the
// link and keep the engine.
func TestSlowLinkIsNotCountedAsSlowLayers(t *testing.T) {
	doc := documentOf(1, 1, 0)
	doc.Accelerators = []document.Accelerator{
		{Name: "fast", LayerMicros: 1000, MemoryMegabytes: 100},
		{Name: "slow", LayerMicros: 5000, MemoryMegabytes: 100},
	}
	for i, kind := range []string{"fast", "slow", "slow"} {
		doc.Endpoints[i].Accelerator = kind
	}
	s := clusterOf(t, doc, 1)
	k := s.controllers[0]
	s.runRounds(5, 0, noAction)
	s.runRounds(60, 0, func() {
		stages, _, _ := k.cfg.Cache.Plan(model, "replica-0")
		var hops []stream.Hop
		for i, st := range stages {
			step := 1000 * float64(st.Layers[1]-st.Layers[0]+1)
			if st.Endpoint != "engine-0a" {
				step *= 5
			}
			link := 0.0
			if i+1 < len(stages) && stages[i+1].Endpoint == "engine-0b" {
				link = 500_000
			}
			hops = append(hops, stream.Hop{Endpoint: st.Endpoint, MeanMicros: step + link, StepMicros: step})
		}
		k.Observe(model, "replica-0", hops)
	})
	stages, _, _ := k.cfg.Cache.Plan(model, "replica-0")
	if stages[0].Endpoint != "engine-0a" || stages[len(stages)-1].Endpoint == "engine-0b" {
		t.Errorf("the plan leaves out the fast engine or uses the slow link: %+v", stages)
	}
}
