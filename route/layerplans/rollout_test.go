package layerplans

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/adapters"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// applyDocument puts a document in force at every node.
func (s *cluster) applyDocument(doc *document.Document) {
	d := docindex.Build(doc, 1, "digest")
	for _, k := range s.controllers {
		k.cfg.Cache.Apply(d)
		k.Apply(d)
	}
}

func withVersion(doc *document.Document, version string) *document.Document {
	doc.Services[0].Model.Version = version
	return doc
}

// serving counts the replicas whose engines all hold a version and take new streams.
func (s *cluster) serving(replicas int, version string) int {
	n := 0
	for i := range replicas {
		ready := true
		for _, st := range s.replicaPlan(i).Stages {
			h := s.holds[st.Endpoint]
			ready = ready && h.Weights == version && h.Role == engineapi.RoleBoth && h.Last == st.Last
		}
		if ready {
			n++
		}
	}
	return n
}

func (s *cluster) replicaPlan(i int) plan.Replica {
	agreed, _ := s.controllers[0].cfg.Cache.Agreed(model, fmt.Sprint("replica-", i))
	return agreed
}

// Callers keep half of the replicas, and every answer that has begun ends where it
// began. A new version is promoted while each replica works on streams that take
// five more seconds; a replica that is to change takes no new ones, ends these, loads
// at the weight store's rate, and the next two begin when it is free.
func TestRolloutKeepsHalfOfReplicas(t *testing.T) {
	const replicas, rate = 4, 4
	s := clusterOf(t, withVersion(documentOf(replicas, 1, rate), "v1"), 1)
	s.loadTime = 2 * time.Second // a replica's 8 MB at 4 MB/s
	s.runRounds(30, 0, noAction)
	if n := s.serving(replicas, "v1"); n != replicas {
		t.Fatalf("%d of %d replicas serve", n, replicas)
	}
	for i := range replicas {
		s.running[s.replicaPlan(i).Stages[0].Endpoint] = 1
	}
	s.applyDocument(withVersion(documentOf(replicas, 1, rate), "v2"))
	clear(s.orderedAt)
	drainOrderedAt := map[string]time.Time{}
	minServing := replicas
	s.runRounds(60, 0, func() {
		for name, h := range s.holds {
			if h.Role == engineapi.RoleDrain && drainOrderedAt[name].IsZero() {
				drainOrderedAt[name] = s.now
			}
			if at := drainOrderedAt[name]; !at.IsZero() && s.now.Sub(at) >= 5*time.Second {
				s.running[name] = 0
			}
		}
		minServing = min(minServing, s.serving(replicas, "v1")+s.serving(replicas, "v2"))
	})
	if n := s.serving(replicas, "v2"); n != replicas || minServing != replicas/2 || s.interrupted != 0 {
		t.Errorf("%d of %d replicas on the new version, at least %d served, %d engines changed under streams", n, replicas, minServing, s.interrupted)
	}
	// An engine has two or three of the eight layers of a megabyte each, so at 4 MB/s
	// no more than two loads begin in a second.
	perSecond := map[time.Duration]int{}
	for _, at := range s.orderedAt {
		perSecond[at]++
	}
	for at, n := range perSecond {
		if n > 2 {
			t.Errorf("%d loads begin at %v", n, at)
		}
	}
}

// Callers keep half of the replicas though the new version cannot be loaded. The
// roll-out stops by itself, and goes back with the document.
func TestRolloutOfBrokenVersionStops(t *testing.T) {
	const replicas = 4
	s := clusterOf(t, withVersion(documentOf(replicas, 1, 0), "v1"), 1)
	s.runRounds(30, 0, noAction)
	s.brokenVersion = "v2"
	s.applyDocument(withVersion(documentOf(replicas, 1, 0), "v2"))
	s.runRounds(60, 0, noAction)
	if n := s.serving(replicas, "v1"); n != replicas/2 {
		t.Errorf("%d of %d replicas serve", n, replicas)
	}
	s.applyDocument(withVersion(documentOf(replicas, 1, 0), "v1"))
	s.runRounds(30, 0, noAction)
	if n := s.serving(replicas, "v1"); n != replicas {
		t.Errorf("%d of %d replicas are back", n, replicas)
	}
}

// An engine that works on a stream for ever does not hold a roll-out up for ever.
func TestDrainTimesOut(t *testing.T) {
	s := clusterOf(t, withVersion(documentOf(2, 1, 0), "v1"), 1)
	s.runRounds(10, 0, noAction)
	s.running["engine-0a"] = 1
	s.runRounds(2, 0, noAction) // its engines have told
	s.applyDocument(withVersion(documentOf(2, 1, 0), "v2"))
	s.runRounds(int(drainTimeout/time.Second)-5, 0, noAction)
	if n := s.serving(2, "v2"); n != 1 {
		t.Errorf("%d replicas on the new version before the limit, want 1", n)
	}
	s.runRounds(20, 0, noAction)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d replicas on the new version after the limit, want 2", n)
	}
}

func withAdapters(doc *document.Document, version string) *document.Document {
	doc.Services[0].Model.Adapters = []document.Adapter{{Name: "notes", Version: version, Bytes: 3 * megabyte, Replicas: 2}}
	return doc
}

func (s *cluster) enginesHolding(a engineapi.Adapter) int {
	n := 0
	for _, held := range s.adapters {
		if slices.Contains(held.Adapters, a) {
			n++
		}
	}
	return n
}

// Callers of an adapter find it on two replicas, which serve all others meanwhile.
// Its loads wait for each other, an engine that lost it gets it again, and one that
// took a higher number from someone else gets it under a higher one still.
func TestAdaptersAreLoadedAndRestored(t *testing.T) {
	notes := engineapi.Adapter{Name: "notes", Version: "1"}
	s := clusterOf(t, documentOf(3, 1, 1), 1)
	s.runRounds(40, 0, noAction)
	s.applyDocument(withAdapters(documentOf(3, 1, 1), "1"))
	s.runRounds(20, 0, noAction)
	engines := 0
	for i := range 3 {
		if len(s.replicaPlan(i).Adapters) > 0 {
			engines += len(s.replicaPlan(i).Stages)
		}
	}
	if n := s.enginesHolding(notes); engines == 0 || n != engines {
		t.Fatalf("%d engines hold the adapter, want %d", n, engines)
	}
	// The second replica's load of 3 MB at 1 MB/s begins when the first one's is over.
	if first, last := s.adapterOrderTimes[0], s.adapterOrderTimes[len(s.adapterOrderTimes)-1]; last-first < 3*time.Second {
		t.Errorf("loads at %v, all at once", s.adapterOrderTimes)
	}
	var name string
	for name = range s.adapters {
		break
	}
	s.adapters[name] = engineapi.AdapterOrder{Version: 1000}
	before := s.replicaPlan(0).Version
	s.runRounds(20, 0, noAction)
	if n := s.enginesHolding(notes); n != engines || s.replicaPlan(0).Version != before {
		t.Errorf("%d engines hold the adapter, want %d; the layers' plan went from %d to %d", n, engines, before, s.replicaPlan(0).Version)
	}
	s.applyDocument(withAdapters(documentOf(3, 1, 1), "2"))
	minHolding := engines
	s.runRounds(40, 0, func() {
		minHolding = min(minHolding, s.enginesHolding(notes)+s.enginesHolding(engineapi.Adapter{Name: "notes", Version: "2"}))
	})
	if n := s.enginesHolding(engineapi.Adapter{Name: "notes", Version: "2"}); n != engines || s.enginesHolding(notes) != 0 || minHolding < engines {
		t.Errorf("%d engines hold the new version, %d the old one; at least %d held either", n, s.enginesHolding(notes), minHolding)
	}
}

// Callers of a busy adapter get a third replica. Every stream that its holders are
// opened for counts, whichever node it came through, as the engines tell; nothing
// else is added while the load is underway, or later, while one of them is idle.
func TestBusyAdapterGetsThirdReplica(t *testing.T) {
	s := clusterOf(t, withAdapters(documentOf(4, 1, 0), "1"), 1)
	s.runRounds(20, 0, noAction)
	s.uses = map[string]uint64{}
	holders := func() (n int) {
		for i := range 4 {
			if len(s.replicaPlan(i).Adapters) > 0 {
				n++
			}
		}
		return n
	}
	if n := holders(); n != 2 {
		t.Fatalf("%d replicas are to hold the adapter, want 2", n)
	}
	for i := range 4 {
		if len(s.replicaPlan(i).Adapters) > 0 {
			s.running[s.replicaPlan(i).Stages[0].Endpoint] = assumedSlots
		}
	}
	s.runRounds(30, 0, func() { s.uses = map[string]uint64{"notes@1": uint64(s.now.Sub(startTime) / time.Second)} })
	if n := holders(); n != 3 {
		t.Errorf("%d replicas are to hold the adapter, want 3", n)
	}
}

// Callers at every node reach a replica that gained an adapter. Nothing there shows a
// node that its plan is old, as the holders that it knows are as they were.
func TestCacheLearnsNewAdapterReplicas(t *testing.T) {
	s := clusterOf(t, withAdapters(documentOf(4, 1, 0), "1"), 1)
	s.runRounds(20, 0, noAction)
	other := NewCache(s.controllers[0].cfg.Store, "java", hclog.NewNullLogger())
	now := startTime
	other.now = func() time.Time { return now }
	other.Apply(s.controllers[0].directory)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go other.Run(ctx)
	knows := func(replicas int) bool {
		n := 0
		for i := range 4 {
			agreed, _ := other.Agreed(model, fmt.Sprint("replica-", i))
			n += len(agreed.Adapters)
		}
		return n == replicas
	}
	await := func(replicas int) {
		for !knows(replicas) {
			time.Sleep(time.Millisecond) // the test's own time limit ends it
		}
	}
	await(2)
	doc := withAdapters(documentOf(4, 1, 0), "1")
	doc.Services[0].Model.Adapters[0].Replicas = 4
	s.applyDocument(doc)
	s.runRounds(10, 0, noAction)
	now = now.Add(adapterRefresh)
	await(4)
}

// A replica that takes a new version keeps its adapters: they are neither dropped
// from its plan nor ordered again under a new number.
func TestNewVersionKeepsAdapters(t *testing.T) {
	s := clusterOf(t, withAdapters(withVersion(documentOf(2, 1, 0), "v1"), "1"), 1)
	s.runRounds(10, 0, noAction)
	before := []int64{s.replicaPlan(0).AdapterVersion, s.replicaPlan(1).AdapterVersion}
	s.applyDocument(withAdapters(withVersion(documentOf(2, 1, 0), "v2"), "1"))
	s.runRounds(30, 0, noAction)
	record, _, err := plan.Load(context.Background(), s.controllers[0].cfg.Store, plan.Key("java", model, domainName(0)))
	if err != nil {
		t.Fatal(err)
	}
	for name, r := range record.Replicas {
		if r.Weights != "v2" || len(r.Adapters) != 1 || len(r.Stages) == 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for i, version := range before {
		if now := s.replicaPlan(i).AdapterVersion; version == 0 || now != version {
			t.Errorf("the adapters of replica %d went from version %d to %d", i, version, now)
		}
	}
}

// Callers get a replica back whose engine someone else has ordered into another
// role: its report differs from the plan, and the keeper orders it anew.
func TestForeignRoleIsCorrected(t *testing.T) {
	s := newCluster(t, 1, 1, 0)
	s.runRounds(5, 0, noAction)
	name := s.replicaPlan(0).Stages[0].Endpoint
	other := s.holds[name]
	other.Role = engineapi.RolePrefill
	s.holds[name] = other
	delete(s.loading, name)
	s.runRounds(5, 0, noAction)
	if got := s.holds[name].Role; got != engineapi.RoleBoth {
		t.Errorf("the engine's role is %q", got)
	}
}

// Callers keep a replica that would only stand empty: the weight store's next minute
// is given away to other loads, and the roll-out begins when it is free.
func TestRolloutWaitsForWeightStore(t *testing.T) {
	const busy = 60
	s := clusterOf(t, withVersion(documentOf(2, 1, 1), "v1"), 1)
	s.runRounds(30, 0, noAction)
	key := plan.PaceKey("java")
	if _, err := plan.Book(context.Background(), s.controllers[0].cfg.Store, key, "other", s.now, []time.Duration{busy * time.Second}); err != nil {
		t.Fatal(err)
	}
	s.applyDocument(withVersion(documentOf(2, 1, 1), "v2"))
	s.runRounds(busy, 0, func() {
		if n := s.serving(2, "v1"); n != 2 {
			t.Fatalf("%d of 2 replicas serve while the weight store is busy", n)
		}
	})
	s.runRounds(40, 0, noAction)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d of 2 replicas are on the new version", n)
	}
}

// Callers keep what another node has just agreed. Its keeper looked at other reports
// and gave the replica an adapter; this node, whose record is older, takes it out.
func TestAdaptersOfOtherControllerAreKept(t *testing.T) {
	s := clusterOf(t, withAdapters(documentOf(2, 1, 0), "1"), 1)
	s.runRounds(10, 0, noAction)
	k := s.controllers[0]
	key := recordKey{model, domainName(0)}
	both := []plan.Adapter{{Name: "notes", Version: "1"}, {Name: "plans", Version: "1"}}
	record, err := plan.Agree(context.Background(), k.cfg.Store, plan.Key("java", model, key.domain), "other", func(r *plan.Record) bool {
		return r.PutAdapters("replica-0", both)
	})
	if err == nil {
		err = k.commitAdapters(context.Background(), key, []adapters.Change{{Replica: "replica-0"}})
	}
	if got := s.replicaPlan(0); err != nil || len(got.Adapters) != 2 || got.AdapterVersion != record.Version {
		t.Errorf("%+v: %v", got, err)
	}
}

// The engine with the least room counts: it keeps its layers' part of each adapter.
func TestAdapterMemoryOfTightestEngine(t *testing.T) {
	doc := documentOf(1, 1, 0)
	doc.Accelerators = []document.Accelerator{{Name: "wide", MemoryMegabytes: 100}, {Name: "tight", MemoryMegabytes: 5}}
	doc.Endpoints[0].Accelerator, doc.Endpoints[1].Accelerator, doc.Endpoints[2].Accelerator = "wide", "tight", "wide"
	d := docindex.Build(doc, 1, "digest")
	agreed := plan.Replica{Stages: []plan.Stage{{Endpoint: "engine-0a", Last: 1}, {Endpoint: "engine-0b", First: 2, Last: 5}, {Endpoint: "engine-0c", First: 6, Last: 7}}}
	if got := adapterMemory(d, replicaSpecs(d)[0], agreed); got != 2*megabyte {
		t.Errorf("room for %d bytes, want %d", got, 2*megabyte) // 1 MB for half of the layers
	}
}
