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

// promote puts a document in force at every node.
func (s *site) promote(doc *document.Document) {
	d := docindex.Build(doc, 1, "digest")
	for _, k := range s.keepers {
		k.cfg.Book.Apply(d)
		k.Apply(d)
	}
}

func versionOf(doc *document.Document, version string) *document.Document {
	doc.Services[0].Model.Version = version
	return doc
}

// serving counts the replicas whose engines all hold a version and take new streams.
func (s *site) serving(replicas int, version string) int {
	n := 0
	for i := range replicas {
		whole := true
		for _, st := range s.agreed(i).Stages {
			h := s.holds[st.Endpoint]
			whole = whole && h.Weights == version && h.Role == engineapi.RoleBoth && h.Last == st.Last
		}
		if whole {
			n++
		}
	}
	return n
}

func (s *site) agreed(i int) plan.Replica {
	agreed, _ := s.keepers[0].cfg.Book.Agreed(model, fmt.Sprint("replica-", i))
	return agreed
}

// Callers keep half of the replicas, and every answer that has begun ends where it
// began. A new version is promoted while each replica works on streams that take
// five more seconds; a replica that is to change takes no new ones, ends these, loads
// at the weight store's rate, and the next two begin when it is free.
func TestVersionIsRolledOut(t *testing.T) {
	const replicas, rate = 4, 4
	s := siteOf(t, versionOf(documentOf(replicas, 1, rate), "v1"), 1)
	s.loadFor = 2 * time.Second // a replica's 8 MB at 4 MB/s
	s.run(30, 0, nothing)
	if n := s.serving(replicas, "v1"); n != replicas {
		t.Fatalf("%d of %d replicas serve", n, replicas)
	}
	for i := range replicas {
		s.running[s.agreed(i).Stages[0].Endpoint] = 1
	}
	s.promote(versionOf(documentOf(replicas, 1, rate), "v2"))
	clear(s.loads)
	drainedAt := map[string]time.Time{}
	least := replicas
	s.run(60, 0, func() {
		for name, h := range s.holds {
			if h.Role == engineapi.RoleDrain && drainedAt[name].IsZero() {
				drainedAt[name] = s.now
			}
			if at := drainedAt[name]; !at.IsZero() && s.now.Sub(at) >= 5*time.Second {
				s.running[name] = 0
			}
		}
		least = min(least, s.serving(replicas, "v1")+s.serving(replicas, "v2"))
	})
	if n := s.serving(replicas, "v2"); n != replicas || least != replicas/2 || s.cut != 0 {
		t.Errorf("%d of %d replicas on the new version, at least %d served, %d engines changed under streams", n, replicas, least, s.cut)
	}
	// An engine has two or three of the eight layers of a megabyte each, so at 4 MB/s
	// no more than two loads begin in a second.
	perSecond := map[time.Duration]int{}
	for _, at := range s.loads {
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
func TestBrokenVersionStops(t *testing.T) {
	const replicas = 4
	s := siteOf(t, versionOf(documentOf(replicas, 1, 0), "v1"), 1)
	s.run(30, 0, nothing)
	s.broken = "v2"
	s.promote(versionOf(documentOf(replicas, 1, 0), "v2"))
	s.run(60, 0, nothing)
	if n := s.serving(replicas, "v1"); n != replicas/2 {
		t.Errorf("%d of %d replicas serve", n, replicas)
	}
	s.promote(versionOf(documentOf(replicas, 1, 0), "v1"))
	s.run(30, 0, nothing)
	if n := s.serving(replicas, "v1"); n != replicas {
		t.Errorf("%d of %d replicas are back", n, replicas)
	}
}

// An engine that works on a stream for ever does not hold a roll-out up for ever.
func TestDrainEnds(t *testing.T) {
	s := siteOf(t, versionOf(documentOf(2, 1, 0), "v1"), 1)
	s.run(10, 0, nothing)
	s.running["engine-0a"] = 1
	s.run(2, 0, nothing) // its engines have told
	s.promote(versionOf(documentOf(2, 1, 0), "v2"))
	s.run(int(drainLimit/time.Second)-5, 0, nothing)
	if n := s.serving(2, "v2"); n != 1 {
		t.Errorf("%d replicas on the new version before the limit, want 1", n)
	}
	s.run(20, 0, nothing)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d replicas on the new version after the limit, want 2", n)
	}
}

func adaptersOf(doc *document.Document, version string) *document.Document {
	doc.Services[0].Model.Adapters = []document.Adapter{{Name: "notes", Version: version, Bytes: 3 * megabyte, Replicas: 2}}
	return doc
}

func (s *site) holding(a engineapi.Adapter) int {
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
func TestAdaptersAreOrdered(t *testing.T) {
	notes := engineapi.Adapter{Name: "notes", Version: "1"}
	s := siteOf(t, documentOf(3, 1, 1), 1)
	s.run(40, 0, nothing)
	s.promote(adaptersOf(documentOf(3, 1, 1), "1"))
	s.run(20, 0, nothing)
	engines := 0
	for i := range 3 {
		if len(s.agreed(i).Adapters) > 0 {
			engines += len(s.agreed(i).Stages)
		}
	}
	if n := s.holding(notes); engines == 0 || n != engines {
		t.Fatalf("%d engines hold the adapter, want %d", n, engines)
	}
	// The second replica's load of 3 MB at 1 MB/s begins when the first one's is over.
	if first, last := s.added[0], s.added[len(s.added)-1]; last-first < 3*time.Second {
		t.Errorf("loads at %v, all at once", s.added)
	}
	var name string
	for name = range s.adapters {
		break
	}
	s.adapters[name] = engineapi.AdapterOrder{Version: 1000}
	before := s.agreed(0).Version
	s.run(20, 0, nothing)
	if n := s.holding(notes); n != engines || s.agreed(0).Version != before {
		t.Errorf("%d engines hold the adapter, want %d; the layers' plan went from %d to %d", n, engines, before, s.agreed(0).Version)
	}
	s.promote(adaptersOf(documentOf(3, 1, 1), "2"))
	least := engines
	s.run(40, 0, func() { least = min(least, s.holding(notes)+s.holding(engineapi.Adapter{Name: "notes", Version: "2"})) })
	if n := s.holding(engineapi.Adapter{Name: "notes", Version: "2"}); n != engines || s.holding(notes) != 0 || least < engines {
		t.Errorf("%d engines hold the new version, %d the old one; at least %d held either", n, s.holding(notes), least)
	}
}

// Callers of a busy adapter get a third replica. Every stream that its holders are
// opened for counts, whichever node it came through, as the engines tell; nothing
// else is added while the load is underway, or later, while one of them is idle.
func TestBusyAdapterIsSpread(t *testing.T) {
	s := siteOf(t, adaptersOf(documentOf(4, 1, 0), "1"), 1)
	s.run(20, 0, nothing)
	s.uses = map[string]uint64{}
	holders := func() (n int) {
		for i := range 4 {
			if len(s.agreed(i).Adapters) > 0 {
				n++
			}
		}
		return n
	}
	if n := holders(); n != 2 {
		t.Fatalf("%d replicas are to hold the adapter, want 2", n)
	}
	for i := range 4 {
		if len(s.agreed(i).Adapters) > 0 {
			s.running[s.agreed(i).Stages[0].Endpoint] = assumedSlots
		}
	}
	s.run(30, 0, func() { s.uses = map[string]uint64{"notes@1": uint64(s.now.Sub(epoch) / time.Second)} })
	if n := holders(); n != 3 {
		t.Errorf("%d replicas are to hold the adapter, want 3", n)
	}
}

// Callers at every node reach a replica that gained an adapter. Nothing there shows a
// node that its plan is old, as the holders that it knows are as they were.
func TestNewHoldersAreLearnt(t *testing.T) {
	s := siteOf(t, adaptersOf(documentOf(4, 1, 0), "1"), 1)
	s.run(20, 0, nothing)
	other := NewBook(s.keepers[0].cfg.Store, "java", hclog.NewNullLogger())
	now := epoch
	other.now = func() time.Time { return now }
	other.Apply(s.keepers[0].directory)
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
	doc := adaptersOf(documentOf(4, 1, 0), "1")
	doc.Services[0].Model.Adapters[0].Replicas = 4
	s.promote(doc)
	s.run(10, 0, nothing)
	now = now.Add(adapterRefresh)
	await(4)
}

// A replica that takes a new version keeps its adapters: they are neither dropped
// from its plan nor ordered again under a new number.
func TestPlansKeepAdapters(t *testing.T) {
	s := siteOf(t, adaptersOf(versionOf(documentOf(2, 1, 0), "v1"), "1"), 1)
	s.run(10, 0, nothing)
	before := []int64{s.agreed(0).AdapterVersion, s.agreed(1).AdapterVersion}
	s.promote(adaptersOf(versionOf(documentOf(2, 1, 0), "v2"), "1"))
	s.run(30, 0, nothing)
	record, _, err := plan.Load(context.Background(), s.keepers[0].cfg.Store, plan.Key("java", model, domainName(0)))
	if err != nil {
		t.Fatal(err)
	}
	for name, r := range record.Replicas {
		if r.Weights != "v2" || len(r.Adapters) != 1 || len(r.Stages) == 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for i, version := range before {
		if now := s.agreed(i).AdapterVersion; version == 0 || now != version {
			t.Errorf("the adapters of replica %d went from version %d to %d", i, version, now)
		}
	}
}

// Callers get a replica back whose engine someone else has ordered into another
// role: its report differs from the plan, and the keeper orders it anew.
func TestRoleIsOrderedBack(t *testing.T) {
	s := newSite(t, 1, 1, 0)
	s.run(5, 0, nothing)
	name := s.agreed(0).Stages[0].Endpoint
	other := s.holds[name]
	other.Role = engineapi.RolePrefill
	s.holds[name] = other
	delete(s.loading, name)
	s.run(5, 0, nothing)
	if got := s.holds[name].Role; got != engineapi.RoleBoth {
		t.Errorf("the engine's role is %q", got)
	}
}

// Callers keep a replica that would only stand empty: the weight store's next minute
// is given away to other loads, and the roll-out begins when it is free.
func TestRollOutWaitsForTheWeightStore(t *testing.T) {
	const busy = 60
	s := siteOf(t, versionOf(documentOf(2, 1, 1), "v1"), 1)
	s.run(30, 0, nothing)
	key := plan.PaceKey("java")
	if _, err := plan.Book(context.Background(), s.keepers[0].cfg.Store, key, "other", s.now, []time.Duration{busy * time.Second}); err != nil {
		t.Fatal(err)
	}
	s.promote(versionOf(documentOf(2, 1, 1), "v2"))
	s.run(busy, 0, func() {
		if n := s.serving(2, "v1"); n != 2 {
			t.Fatalf("%d of 2 replicas serve while the weight store is busy", n)
		}
	})
	s.run(40, 0, nothing)
	if n := s.serving(2, "v2"); n != 2 {
		t.Errorf("%d of 2 replicas are on the new version", n)
	}
}

// Callers keep what another node has just agreed. Its keeper looked at other reports
// and gave the replica an adapter; this node, whose record is older, takes it out.
func TestAdaptersOfAnotherKeeperStay(t *testing.T) {
	s := siteOf(t, adaptersOf(documentOf(2, 1, 0), "1"), 1)
	s.run(10, 0, nothing)
	k := s.keepers[0]
	at := place{model, domainName(0)}
	both := []plan.Adapter{{Name: "notes", Version: "1"}, {Name: "plans", Version: "1"}}
	record, err := plan.Agree(context.Background(), k.cfg.Store, plan.Key("java", model, at.domain), "other", func(r *plan.Record) bool {
		return r.PutAdapters("replica-0", both)
	})
	if err == nil {
		err = k.agreeAdapters(context.Background(), at, []adapters.Change{{Replica: "replica-0"}})
	}
	if got := s.agreed(0); err != nil || len(got.Adapters) != 2 || got.AdapterVersion != record.Version {
		t.Errorf("%+v: %v", got, err)
	}
}

// The engine with the least room counts: it keeps its layers' part of each adapter.
func TestAdapterRoom(t *testing.T) {
	doc := documentOf(1, 1, 0)
	doc.Accelerators = []document.Accelerator{{Name: "wide", MemoryMegabytes: 100}, {Name: "tight", MemoryMegabytes: 5}}
	doc.Endpoints[0].Accelerator, doc.Endpoints[1].Accelerator, doc.Endpoints[2].Accelerator = "wide", "tight", "wide"
	d := docindex.Build(doc, 1, "digest")
	agreed := plan.Replica{Stages: []plan.Stage{{Endpoint: "engine-0a", Last: 1}, {Endpoint: "engine-0b", First: 2, Last: 5}, {Endpoint: "engine-0c", First: 6, Last: 7}}}
	if got := adapterRoom(d, openReplicas(d)[0], agreed); got != 2*megabyte {
		t.Errorf("room for %d bytes, want %d", got, 2*megabyte) // 1 MB for half of the layers
	}
}
