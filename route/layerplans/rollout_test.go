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

// applyDocument applies a document at every node.
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

// serving counts the replicas whose engines all hold a version and accept new streams.
func (s *cluster) serving(replicas int, version string) int {
	n := 0
	for i := range replicas {
		ready := true
		for _, st := range s.replicaPlan(i).Stages {
			h := s.holdings[st.Endpoint]
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

// If all replicas took a new version at once, callers would find no replica and running
// answers would be cut off. A new version is promoted while each replica has streams that
// take five more seconds. Half of the replicas must serve at any time, and no engine may
// replace its weights while a stream runs. The loads must keep to the weight store's rate.
func TestRolloutKeepsHalfOfReplicas(t *testing.T) {
	const replicas, storeMBPerSecond = 4, 4
	s := clusterOf(t, withVersion(documentOf(replicas, 1, storeMBPerSecond), "v1"), 1)
	s.loadTime = 2 * time.Second // 8 MB per replica at 4 MB/s
	s.runRounds(30, 0, noAction)
	if n := s.serving(replicas, "v1"); n != replicas {
		t.Fatalf("%d of %d replicas serve", n, replicas)
	}
	for i := range replicas {
		s.runningStreams[s.replicaPlan(i).Stages[0].Endpoint] = 1
	}
	s.applyDocument(withVersion(documentOf(replicas, 1, storeMBPerSecond), "v2"))
	clear(s.orderedAt)
	drainOrderedAt := map[string]time.Time{}
	minServing := replicas
	s.runRounds(60, 0, func() {
		for name, h := range s.holdings {
			if h.Role == engineapi.RoleDrain && drainOrderedAt[name].IsZero() {
				drainOrderedAt[name] = s.now
			}
			if at := drainOrderedAt[name]; !at.IsZero() && s.now.Sub(at) >= 5*time.Second {
				s.runningStreams[name] = 0
			}
		}
		minServing = min(minServing, s.serving(replicas, "v1")+s.serving(replicas, "v2"))
	})
	if n := s.serving(replicas, "v2"); n != replicas || minServing != replicas/2 || s.ordersWhileStreaming != 0 {
		t.Errorf("%d of %d replicas on the new version, at least %d served, %d engines replaced weights while streams ran", n, replicas, minServing, s.ordersWhileStreaming)
	}
	// An engine loads two or three of the eight layers of 1 MB each, so at 4 MB/s at most
	// two loads begin in a second.
	loadsBySecond := map[time.Duration]int{}
	for _, at := range s.orderedAt {
		loadsBySecond[at]++
	}
	for at, n := range loadsBySecond {
		if n > 2 {
			t.Errorf("%d loads begin at %v", n, at)
		}
	}
}

// If a roll-out of a version that cannot be loaded continued, it would stop all replicas.
// The roll-out must stop with half of the replicas serving. When the document names the
// old version again, all replicas return to it.
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
		t.Errorf("%d of %d replicas serve the old version again", n, replicas)
	}
}

// Without drainTimeout, an engine with a stream that never ends would block a roll-out.
func TestDrainTimesOut(t *testing.T) {
	s := clusterOf(t, withVersion(documentOf(2, 1, 0), "v1"), 1)
	s.runRounds(10, 0, noAction)
	s.runningStreams["engine-0a"] = 1
	s.runRounds(2, 0, noAction) // the engines report the running stream
	s.applyDocument(withVersion(documentOf(2, 1, 0), "v2"))
	s.runRounds(int(drainTimeout/time.Second)-5, 0, noAction)
	if n := s.serving(2, "v2"); n != 1 {
		t.Errorf("%d replicas on the new version before the timeout, want 1", n)
	}
	s.runRounds(20, 0, noAction)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d replicas on the new version after the timeout, want 2", n)
	}
}

func documentWithAdapter(doc *document.Document, version string) *document.Document {
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

// If an adapter is not loaded, or not loaded again after its loss, its callers find no
// replica. The document asks for the adapter on two replicas. Their loads run one after
// the other. One engine then loses the adapter through an order with a higher version from
// another source, and must get the adapter under a still higher version.
func TestAdaptersAreLoadedAndRestored(t *testing.T) {
	notes := engineapi.Adapter{Name: "notes", Version: "1"}
	s := clusterOf(t, documentOf(3, 1, 1), 1)
	s.runRounds(40, 0, noAction)
	s.applyDocument(documentWithAdapter(documentOf(3, 1, 1), "1"))
	s.runRounds(20, 0, noAction)
	plannedEngines := 0
	for i := range 3 {
		if len(s.replicaPlan(i).Adapters) > 0 {
			plannedEngines += len(s.replicaPlan(i).Stages)
		}
	}
	if n := s.enginesHolding(notes); plannedEngines == 0 || n != plannedEngines {
		t.Fatalf("%d engines hold the adapter, want %d", n, plannedEngines)
	}
	// The second replica's load begins when the first replica's load of 3 MB at 1 MB/s has
	// ended.
	if first, last := s.adapterOrderTimes[0], s.adapterOrderTimes[len(s.adapterOrderTimes)-1]; last-first < 3*time.Second {
		t.Errorf("adapter loads at %v, too close together", s.adapterOrderTimes)
	}
	var name string
	for name = range s.adapters {
		break
	}
	s.adapters[name] = engineapi.AdapterOrder{Version: 1000}
	before := s.replicaPlan(0).Version
	s.runRounds(20, 0, noAction)
	if n := s.enginesHolding(notes); n != plannedEngines || s.replicaPlan(0).Version != before {
		t.Errorf("%d engines hold the adapter, want %d; the version of the layers' plan changed from %d to %d", n, plannedEngines, before, s.replicaPlan(0).Version)
	}
	s.applyDocument(documentWithAdapter(documentOf(3, 1, 1), "2"))
	minHolding := plannedEngines
	s.runRounds(40, 0, func() {
		minHolding = min(minHolding, s.enginesHolding(notes)+s.enginesHolding(engineapi.Adapter{Name: "notes", Version: "2"}))
	})
	if n := s.enginesHolding(engineapi.Adapter{Name: "notes", Version: "2"}); n != plannedEngines || s.enginesHolding(notes) != 0 || minHolding < plannedEngines {
		t.Errorf("%d engines hold the new version, %d the old version; at least %d held one of them", n, s.enginesHolding(notes), minHolding)
	}
}

// If the demand for an adapter were not measured, its callers would wait for the two busy
// replicas that hold the adapter. The engines report the uses of the adapter through all
// nodes, and exactly one further replica gets the adapter. No fourth replica may get the
// adapter while the third replica loads it, or later while one of the three is idle.
func TestBusyAdapterGetsThirdReplica(t *testing.T) {
	s := clusterOf(t, documentWithAdapter(documentOf(4, 1, 0), "1"), 1)
	s.runRounds(20, 0, noAction)
	s.useCounts = map[string]uint64{}
	holders := func() (n int) {
		for i := range 4 {
			if len(s.replicaPlan(i).Adapters) > 0 {
				n++
			}
		}
		return n
	}
	if n := holders(); n != 2 {
		t.Fatalf("the adapter is planned on %d replicas, want 2", n)
	}
	for i := range 4 {
		if len(s.replicaPlan(i).Adapters) > 0 {
			s.runningStreams[s.replicaPlan(i).Stages[0].Endpoint] = assumedSlots
		}
	}
	s.runRounds(30, 0, func() { s.useCounts = map[string]uint64{"notes@1": uint64(s.now.Sub(startTime) / time.Second)} })
	if n := holders(); n != 3 {
		t.Errorf("the adapter is planned on %d replicas, want 3", n)
	}
}

// If a node did not read records with adapters again, its callers would not reach the
// replicas that gained an adapter. The replicas that the node knows to hold the adapter
// still hold it, so nothing shows the node that its plans are outdated.
func TestCacheLearnsNewAdapterReplicas(t *testing.T) {
	s := clusterOf(t, documentWithAdapter(documentOf(4, 1, 0), "1"), 1)
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
			time.Sleep(time.Millisecond) // the time limit of the test ends the loop
		}
	}
	await(2)
	doc := documentWithAdapter(documentOf(4, 1, 0), "1")
	doc.Services[0].Model.Adapters[0].Replicas = 4
	s.applyDocument(doc)
	s.runRounds(10, 0, noAction)
	now = now.Add(adapterRefresh)
	await(4)
}

// If a plan for new weights replaced the whole plan, a replica would lose its adapters in
// a roll-out. The adapters must stay in the plan under the same adapter version.
func TestNewVersionKeepsAdapters(t *testing.T) {
	s := clusterOf(t, documentWithAdapter(withVersion(documentOf(2, 1, 0), "v1"), "1"), 1)
	s.runRounds(10, 0, noAction)
	before := []int64{s.replicaPlan(0).AdapterVersion, s.replicaPlan(1).AdapterVersion}
	s.applyDocument(documentWithAdapter(withVersion(documentOf(2, 1, 0), "v2"), "1"))
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
			t.Errorf("the adapter version of replica %d changed from %d to %d", i, version, now)
		}
	}
}

// If the roles of engines were not compared with the plan, a replica would stay out of use
// after another source has ordered one of its engines into another role.
func TestForeignRoleIsCorrected(t *testing.T) {
	s := newCluster(t, 1, 1, 0)
	s.runRounds(5, 0, noAction)
	name := s.replicaPlan(0).Stages[0].Endpoint
	other := s.holdings[name]
	other.Role = engineapi.RolePrefill
	s.holdings[name] = other
	delete(s.loading, name)
	s.runRounds(5, 0, noAction)
	if got := s.holdings[name].Role; got != engineapi.RoleBoth {
		t.Errorf("the engine kept the foreign role %q", got)
	}
}

// If a roll-out started while the weight store is busy, a replica would be out of service
// until its reserved time. The next minute of the weight store is reserved for other
// loads, and the roll-out must start after this minute.
func TestRolloutWaitsForWeightStore(t *testing.T) {
	const busySeconds = 60
	s := clusterOf(t, withVersion(documentOf(2, 1, 1), "v1"), 1)
	s.runRounds(30, 0, noAction)
	key := plan.PaceKey("java")
	if _, err := plan.Book(context.Background(), s.controllers[0].cfg.Store, key, "other", s.now, []time.Duration{busySeconds * time.Second}); err != nil {
		t.Fatal(err)
	}
	s.applyDocument(withVersion(documentOf(2, 1, 1), "v2"))
	s.runRounds(busySeconds, 0, func() {
		if n := s.serving(2, "v1"); n != 2 {
			t.Fatalf("%d of 2 replicas serve while the weight store is busy", n)
		}
	})
	s.runRounds(40, 0, noAction)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d of 2 replicas are on the new version", n)
	}
}

// If a node wrote its adapter decision over a newer record, an adapter that another node
// has just placed would be removed. This node's cached record is older than the other
// node's change.
func TestAdaptersOfOtherControllerAreKept(t *testing.T) {
	s := clusterOf(t, documentWithAdapter(documentOf(2, 1, 0), "1"), 1)
	s.runRounds(10, 0, noAction)
	k := s.controllers[0]
	key := recordKey{model, domainName(0)}
	bothAdapters := []plan.Adapter{{Name: "notes", Version: "1"}, {Name: "plans", Version: "1"}}
	record, err := plan.Agree(context.Background(), k.cfg.Store, plan.Key("java", model, key.domain), "other", func(r *plan.Record) bool {
		return r.PutAdapters("replica-0", bothAdapters)
	})
	if err == nil {
		err = k.commitAdapters(context.Background(), key, []adapters.Change{{Replica: "replica-0"}})
	}
	if got := s.replicaPlan(0); err != nil || len(got.Adapters) != 2 || got.AdapterVersion != record.Version {
		t.Errorf("%+v: %v", got, err)
	}
}

// If the memory of the engine with the least free memory were ignored, adapters would be
// planned that do not fit. Each engine holds the part of an adapter that belongs to its layers.
func TestAdapterMemoryOfEngineWithLeastMemory(t *testing.T) {
	doc := documentOf(1, 1, 0)
	doc.Accelerators = []document.Accelerator{{Name: "wide", MemoryMegabytes: 100}, {Name: "tight", MemoryMegabytes: 5}}
	doc.Endpoints[0].Accelerator, doc.Endpoints[1].Accelerator, doc.Endpoints[2].Accelerator = "wide", "tight", "wide"
	d := docindex.Build(doc, 1, "digest")
	agreed := plan.Replica{Stages: []plan.Stage{{Endpoint: "engine-0a", Last: 1}, {Endpoint: "engine-0b", First: 2, Last: 5}, {Endpoint: "engine-0c", First: 6, Last: 7}}}
	if got := adapterMemory(d, replicaSpecs(d)[0], agreed); got != 2*megabyte {
		t.Errorf("memory for adapters is %d bytes, want %d", got, 2*megabyte) // 1 MB for half of the layers
	}
}
