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

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// fleet is engines by address, which is their name.
type fleet struct {
	now    time.Time
	holds  map[string]engineapi.Holding
	loads  map[string]time.Duration // when an engine was last ordered other layers
	silent map[string]bool
	// loadFor is how long a load takes; an engine reports what it held until then.
	loadFor time.Duration
	loading map[string]load
	// running is how many streams each engine works on, cut how often engines took
	// other weights with streams on them. broken weights are never there.
	running map[string]int
	cut     int
	broken  string
	// adapters is what each engine holds of adapters, added when it was told.
	adapters map[string]engineapi.AdapterOrder
	uses     map[string]uint64
	added    []time.Duration
}

type load struct {
	order engineapi.Order
	ready time.Time
}

func (f *fleet) Holding(_ context.Context, address string) (engineapi.Report, error) {
	if f.silent[address] {
		return engineapi.Report{}, errors.New("no answer")
	}
	if l, ok := f.loading[address]; ok && !f.now.Before(l.ready) {
		f.holds[address] = engineapi.Holding(l.order)
	}
	return engineapi.Report{
		Holding: f.holds[address], Running: f.running[address], Uses: f.uses,
		Adapters: f.adapters[address].Adapters, AdapterVersion: f.adapters[address].Version,
	}, nil
}

func (f *fleet) OrderAdapters(_ context.Context, address string, order engineapi.AdapterOrder) error {
	if order.Version < f.adapters[address].Version {
		return &engineclient.SendError{Endpoint: address, Status: http.StatusConflict}
	}
	f.adapters[address] = order
	f.added = append(f.added, f.now.Sub(epoch))
	return nil
}

func (f *fleet) Order(_ context.Context, address string, order engineapi.Order) error {
	if order.Role == engineapi.RoleDrain {
		delete(f.loading, address)
		f.holds[address] = engineapi.Holding(order)
		return nil
	}
	if f.holds[address].Weights != "" && f.holds[address].Weights != order.Weights && f.running[address] > 0 {
		f.cut++
	}
	if order.Weights == f.broken && order.Weights != "" {
		delete(f.loading, address)
		f.holds[address] = engineapi.Holding{Last: -1, PlacementVersion: order.PlacementVersion}
		return nil
	}
	if f.loading[address].order != order || f.loadFor == 0 {
		f.loading[address] = load{order, f.now.Add(f.loadFor)}
		f.loads[address] = f.now.Sub(epoch)
	}
	if f.loadFor == 0 {
		f.holds[address] = engineapi.Holding(order)
	}
	return nil
}

// Record implements decisionlog.Recorder.
func (f *fleet) Record(decisionlog.Decision) {}

// site is replicas of two engines, in one failure domain or each in its own, and
// a keeper for each domain.
type site struct {
	*fleet
	keepers []*Keeper
}

func newSite(t *testing.T, replicas, domains, rate int) *site {
	return siteOf(t, documentOf(replicas, domains, rate), domains)
}

func siteOf(t *testing.T, doc *document.Document, domains int) *site {
	memory := storetest.NewMemory()
	t.Cleanup(memory.Close)
	d := docindex.Build(doc, 1, "digest")
	s := &site{fleet: &fleet{now: epoch, holds: map[string]engineapi.Holding{}, loads: map[string]time.Duration{}, silent: map[string]bool{}, loading: map[string]load{}, running: map[string]int{}, adapters: map[string]engineapi.AdapterOrder{}}}
	for i := range domains {
		client := storetest.NewClient(memory)
		book := NewBook(client, "java", hclog.NewNullLogger())
		book.Apply(d)
		k := NewKeeper(KeeperConfig{
			Node: fmt.Sprint("vm-", i), Environment: "java", Store: client, Engines: s.fleet, Book: book,
			Record: s.fleet, Log: hclog.NewNullLogger(),
			Turn:    func(_, domain string) bool { return domain == domainName(i) },
			Members: func() any { return 0 },
		})
		k.Apply(d)
		s.keepers = append(s.keepers, k)
	}
	return s
}

func domainName(i int) string { return fmt.Sprint("domain-", i) }

func documentOf(replicas, domains, rate int) *document.Document {
	doc := &document.Document{Policy: document.Policy{WeightMegabytesPerSecond: rate}}
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

// run plays rounds, one a second, and returns the most replicas that were not whole
// by their plan at once, from the given second on.
func (s *site) run(seconds, from int, each func()) int {
	worst := 0
	for second := range seconds {
		each()
		for _, k := range s.keepers {
			k.round(context.Background(), s.now)
		}
		if second >= from {
			worst = max(worst, s.moving())
		}
		s.now = s.now.Add(time.Second)
	}
	return worst
}

func (s *site) moving() int {
	n := 0
	for _, k := range s.keepers {
		for name := range k.kept {
			stages, version, _ := k.cfg.Book.Plan(name.model, name.replica)
			if slices.ContainsFunc(stages, func(st document.Stage) bool {
				want := engineapi.Holding{Model: model, First: st.Layers[0], Last: st.Layers[1], PlacementVersion: version}
				return s.holds[st.Endpoint] != want
			}) {
				n++
			}
		}
	}
	return n
}

func nothing() {}

// Callers get the first replica back in the time of its own loads. Two failure
// domains come back empty at once, each kept by another node; paced each for itself
// they share the weight store's rate, and nothing serves until all is loaded.
func TestLoadsArePacedTogether(t *testing.T) {
	s := newSite(t, 2, 2, 1)
	s.run(2*layers+4, 0, nothing)
	ordered := slices.Sorted(maps.Values(s.loads))
	if len(ordered) < 4 || s.moving() != 0 {
		t.Fatalf("ordered at %v, %d replicas not whole", ordered, s.moving())
	}
	t.Logf("loads begin at %v", ordered)
	// Each engine holds a part of 8 MB of layers; the rate is 1 MB a second.
	loaded := time.Duration(0)
	for _, at := range ordered {
		if at < loaded {
			t.Errorf("a load begins at %v, the one before takes until %v: %v", at, loaded, ordered)
		}
		loaded += s.shortest() // no engine's part is shorter
	}
	again := len(s.loads)
	clear(s.holds) // a rack comes back empty
	clear(s.loading)
	clear(s.loads)
	back := s.now.Sub(epoch)
	s.run(2*layers+4, 0, nothing)
	ordered = slices.Sorted(maps.Values(s.loads))
	if len(ordered) != again || ordered[again-1] < back+layers*time.Second {
		t.Errorf("back at %v, ordered at %v: all at once", back, ordered)
	}
}

// shortest is the time of the shortest load.
func (s *site) shortest() time.Duration {
	least := layers
	for _, h := range s.holds {
		least = min(least, h.Last-h.First+1)
	}
	return time.Duration(least) * time.Second
}

// Callers keep two of three replicas while all three move. A switch makes the same
// link of every replica bad, so all plans are due in the same second; each plan
// that is agreed stops its replica until its layers are loaded.
func TestReplicasMoveOneAtATime(t *testing.T) {
	s := newSite(t, 3, 1, 0)
	s.loadFor = 3 * time.Second
	k := s.keepers[0]
	s.run(3*layers+6, 0, nothing)
	versions := func() (sum int64) {
		for i := range 3 {
			_, v, _ := k.cfg.Book.Plan(model, fmt.Sprint("replica-", i))
			sum += v
		}
		return sum
	}
	before := versions()
	measured := func() { s.observe(k) }
	worst := s.run(120, 0, measured)
	if worst != 1 {
		t.Errorf("%d replicas moved at once, want 1", worst)
	}
	if after := versions(); after <= before+2 || s.moving() != 0 {
		t.Errorf("the plans did not all change: versions %d, then %d; %d not whole", before, after, s.moving())
	}
}

// observe tells the times of each replica's present hops: a millisecond a layer,
// and 50 ms for the link behind the first engine.
func (s *site) observe(k *Keeper) {
	for i := range 3 {
		name := fmt.Sprint("replica-", i)
		stages, _, _ := k.cfg.Book.Plan(model, name)
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

// Callers keep the only replica that serves: the others do not answer, and a plan
// that is better by measure must not stop the last one.
func TestLastReplicaIsNotMoved(t *testing.T) {
	s := newSite(t, 3, 1, 1)
	k := s.keepers[0]
	s.run(3*layers+6, 0, nothing)
	for _, i := range []int{1, 2} {
		for _, stage := range []string{"a", "b", "c"} {
			s.silent[fmt.Sprint("engine-", i, stage)] = true
		}
	}
	s.run(10, 0, nothing) // every engine is asked once
	_, before, _ := k.cfg.Book.Plan(model, "replica-0")
	s.run(60, 0, func() { s.observe(k) })
	if _, after, _ := k.cfg.Book.Plan(model, "replica-0"); after != before {
		t.Errorf("the last replica was stopped for version %d", after)
	}
}

// Callers get the fast engine's tokens. The link behind it turns bad; the engine
// itself reports that its layers are as quick as ever, and the plan goes past the
// link. Without its report the whole hop would count as its layers, and the plan would
// leave the fast engine out.
func TestSlowLinkIsNotSlowLayers(t *testing.T) {
	doc := documentOf(1, 1, 0)
	doc.Accelerators = []document.Accelerator{
		{Name: "fast", LayerMicros: 1000, MemoryMegabytes: 100},
		{Name: "slow", LayerMicros: 5000, MemoryMegabytes: 100},
	}
	for i, kind := range []string{"fast", "slow", "slow"} {
		doc.Endpoints[i].Accelerator = kind
	}
	s := siteOf(t, doc, 1)
	k := s.keepers[0]
	s.run(5, 0, nothing)
	s.run(60, 0, func() {
		stages, _, _ := k.cfg.Book.Plan(model, "replica-0")
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
	stages, _, _ := k.cfg.Book.Plan(model, "replica-0")
	if stages[0].Endpoint != "engine-0a" || stages[len(stages)-1].Endpoint == "engine-0b" {
		t.Errorf("the plan is %+v", stages)
	}
}
