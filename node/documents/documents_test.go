package documents

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	environment = "dawn"
	endpoints   = 1000
	patience    = 30 * time.Second
)

// textOf is a document of several parts; one endpoint's address tells texts
// apart.
func textOf(t testing.TB, version int) []byte {
	doc := document.Document{Format: document.Format, Environment: environment, FailureDomains: []document.FailureDomain{{Name: "bandung", Region: "java-west"}}}
	plain := &document.Plain{}
	for i := range endpoints {
		name := fmt.Sprintf("e-%04d", i)
		address := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		if i == endpoints/2 {
			address = fmt.Sprintf("10.1.0.%d:80", version)
		}
		doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: name, Address: address, FailureDomain: "bandung"})
		plain.Endpoints = append(plain.Endpoints, name)
	}
	doc.Services = []document.Service{{Name: "stock-ledger", Kind: document.KindPlain, Plain: plain}}
	doc.Teams = []document.Team{}
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// site is a store with an operator and one node before it. The node's client
// counts the parts that it reads and can be made to fail.
type site struct {
	t      *testing.T
	memory *storetest.Memory
	client *storetest.Client
	source *Source

	mu      sync.Mutex
	held    fleet.Record
	refused chan string
	records chan fleet.Record
	read    atomic.Int64
}

func newSite(t *testing.T) *site {
	memory := storetest.NewMemory()
	t.Cleanup(memory.Close)
	s := &site{t: t, memory: memory, refused: make(chan string, 1000), records: make(chan fleet.Record, 1000)}
	s.restart()
	return s
}

// restart replaces the node: it holds nothing.
func (s *site) restart() {
	s.client = storetest.NewClient(s.memory)
	s.source = New(Config{
		Store:       s,
		Environment: environment,
		Key:         promotion.ProductionKey(environment),
		Slot:        "dawn/production",
		Log:         hclog.NewNullLogger(),
		Refused:     func(reason string) { s.refused <- reason },
	})
	s.hold(fleet.Record{})
	s.source.Follow(s.latest)
}

// Get implements store.Reader.
func (s *site) Get(ctx context.Context, key string) (store.Entry, error) {
	if key != promotion.ProductionKey(environment) {
		s.read.Add(1)
	}
	return s.client.Get(ctx, key)
}

// List implements store.Reader.
func (s *site) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	return s.client.List(ctx, prefix)
}

// Watch implements store.Watcher.
func (s *site) Watch(ctx context.Context, prefix string, revision int64, handle func(store.Event)) error {
	return s.client.Watch(ctx, prefix, revision, handle)
}

func (s *site) latest() (fleet.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, true
}

// hold is what the fleet does with a record, from the store or from a peer.
func (s *site) hold(record fleet.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = record
}

// watch holds a watch until the test ends.
func (s *site) watch() {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() {
		_ = s.source.Watch(ctx, func(r fleet.Record) { // ends with the context's error
			s.hold(r)
			s.records <- r
		})
	})
	s.t.Cleanup(func() { cancel(); work.Wait() })
}

// promote puts a version in force and returns its index.
func (s *site) promote(version int) document.Index {
	s.t.Helper()
	p := promotion.New(storetest.NewClient(s.memory))
	tried, err := p.Trial(context.Background(), environment, textOf(s.t, version), "siti")
	if err != nil {
		s.t.Fatal(err)
	}
	index, err := p.Promote(context.Background(), environment, tried.Digest, tried.Base, promotion.NewID(), "siti")
	if err != nil {
		s.t.Fatal(err)
	}
	return index
}

// own returns the part of a version that holds the endpoint which differs.
func (s *site) own(version int) document.Part {
	known := map[document.PartDigest]bool{}
	for _, part := range document.Parts(textOf(s.t, version+100)) {
		known[part.Ref.Digest] = true
	}
	for _, part := range document.Parts(textOf(s.t, version)) {
		if !known[part.Ref.Digest] {
			return part
		}
	}
	s.t.Fatal("the versions have the same parts")
	return document.Part{}
}

// put writes a part's value as it is, or removes it.
func (s *site) put(part document.Part, value []byte) {
	write := storetest.Write{Key: documentparts.Key(environment, part.Ref.Digest), Value: value, Delete: value == nil}
	if _, _, err := s.memory.Txn(nil, []storetest.Write{write}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) awaitRecord(revision int64) fleet.Record {
	s.t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case r := <-s.records:
			if r.Revision == revision {
				return r
			}
			if r.Revision > revision {
				s.t.Fatalf("revision %d came, want %d", r.Revision, revision)
			}
		case <-timeout:
			s.t.Fatalf("revision %d did not come", revision)
		}
	}
}

func (s *site) awaitRefusal(want string) {
	s.t.Helper()
	select {
	case reason := <-s.refused:
		if reason != want {
			s.t.Fatalf("refused for %q, want %q", reason, want)
		}
	case <-time.After(patience):
		s.t.Fatalf("nothing was refused, want %q", want)
	}
}

// A watch holder starts and reads every part. One endpoint of 1,000 changes.
// The holder reads the one or two parts in which it stands, and hands over
// exactly the operator's text.
func TestChangeReadsOnlyItsParts(t *testing.T) {
	s := newSite(t)
	first := s.promote(1)
	s.watch()
	s.awaitRecord(1)
	if got := s.read.Load(); got != int64(len(first.Parts)) {
		t.Errorf("%d parts were read, the text has %d", got, len(first.Parts))
	}
	s.promote(2)
	r := s.awaitRecord(2)
	if string(r.Body) != string(textOf(t, 2)) {
		t.Error("the text is not the operator's")
	}
	if got := s.read.Load() - int64(len(first.Parts)); got < 1 || got > 2 {
		t.Errorf("%d parts were read for a change of one endpoint", got)
	}
}

// The index in force names a part that the store does not have, or not whole,
// or that is late. The node says so, hands over nothing and keeps on trying;
// once the part is there the document comes, and nobody has to do anything.
func TestBadPartIsTriedAgain(t *testing.T) {
	for reason, value := range map[string][]byte{
		ReasonMissing: nil,
		ReasonDamaged: []byte("neither gzip nor the part"),
	} {
		t.Run(reason, func(t *testing.T) {
			s := newSite(t)
			s.promote(1)
			s.watch()
			s.awaitRecord(1)
			part := s.own(2)
			whole, err := part.Encode()
			if err != nil {
				t.Fatal(err)
			}
			p := promotion.New(storetest.NewClient(s.memory))
			tried, err := p.Trial(t.Context(), environment, textOf(t, 2), "siti")
			if err != nil {
				t.Fatal(err)
			}
			// The node's reads of the part meet what stands there.
			s.client.SetFault(func(call storetest.Call) storetest.Fault {
				if call.Key == documentparts.Key(environment, part.Ref.Digest) {
					return storetest.Fault{Before: func() { s.put(part, value) }}
				}
				return storetest.Fault{}
			})
			if _, err := p.Promote(t.Context(), environment, tried.Digest, 1, promotion.NewID(), "siti"); err != nil {
				t.Fatal(err)
			}
			s.awaitRefusal(reason)
			s.awaitRefusal(reason)
			if held, _ := s.latest(); held.Revision != 1 {
				t.Errorf("revision %d is held", held.Revision)
			}
			s.client.SetFault(nil)
			s.put(part, whole)
			s.awaitRecord(2)
		})
	}
}

// The store answers the index and then is down for the part. The record in
// force stays until the store is back.
func TestOutageBetweenIndexAndPart(t *testing.T) {
	s := newSite(t)
	s.promote(1)
	s.watch()
	s.awaitRecord(1)
	s.client.SetFault(func(call storetest.Call) storetest.Fault {
		return storetest.Fault{Unavailable: call.Op == storetest.OpGet}
	})
	s.promote(2)
	s.awaitRefusal(ReasonStore)
	if held, _ := s.latest(); held.Revision != 1 {
		t.Errorf("revision %d is held", held.Revision)
	}
	s.client.SetFault(nil)
	s.awaitRecord(2)
}

// A part of revision 2 never comes, and an operator promotes revision 3. The
// node must not go on with revision 2 for ever: it takes 3.
func TestNewerIndexEndsTheTries(t *testing.T) {
	s := newSite(t)
	s.promote(1)
	s.watch()
	s.awaitRecord(1)
	lost := documentparts.Key(environment, s.own(2).Ref.Digest)
	s.client.SetFault(func(call storetest.Call) storetest.Fault {
		return storetest.Fault{Unavailable: call.Key == lost}
	})
	s.promote(2)
	s.awaitRefusal(ReasonStore)
	s.promote(3)
	s.awaitRecord(3)
}

// An index that can't be read, of a newer program or damaged, is left out and
// counted; the next one is taken.
func TestUnreadableIndexIsLeftOut(t *testing.T) {
	s := newSite(t)
	s.promote(1)
	s.watch()
	s.awaitRecord(1)
	key := promotion.ProductionKey(environment)
	entry, err := s.client.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := s.client.CompareAndSwap(t.Context(), key, entry.Revision, []byte(`{"format":3}`))
	if err != nil {
		t.Fatal(err)
	}
	s.awaitRefusal(ReasonIndex)
	if _, err := s.source.Get(t.Context()); err == nil {
		t.Error("a starting node takes it")
	}
	s.awaitRefusal(ReasonIndex)
	if _, err := s.client.CompareAndSwap(t.Context(), key, revision, entry.Value); err != nil {
		t.Fatal(err)
	}
	s.promote(2)
	s.awaitRecord(2)
}

// A node starts, reads some parts, and the store goes down. It is not ready on
// half a document. At the next try it reads only what it still lacks.
func TestStartGoesOnWithThePartsItHas(t *testing.T) {
	s := newSite(t)
	index := s.promote(1)
	const readable = 3
	s.client.SetFault(func(call storetest.Call) storetest.Fault {
		return storetest.Fault{Unavailable: call.Number > 1+readable}
	})
	if _, err := s.source.Get(t.Context()); err == nil {
		t.Fatal("a document was made of half its parts")
	}
	s.awaitRefusal(ReasonStore)
	s.client.SetFault(nil)
	s.read.Store(0)
	r, err := s.source.Get(t.Context())
	if err != nil || string(r.Body) != string(textOf(t, 1)) {
		t.Fatalf("not the operator's text: %v", err)
	}
	if got := s.read.Load(); got != int64(len(index.Parts)-readable) {
		t.Errorf("%d parts were read, of %d lacking", got, len(index.Parts)-readable)
	}
}

// A peer brings the text while a starting node reads its parts. The node takes
// the peer's and leaves the store alone.
func TestPeerEndsTheReadingOfParts(t *testing.T) {
	s := newSite(t)
	index := s.promote(1)
	record := fleet.Record{Environment: "dawn/production", Revision: 1, Digest: index.Digest, Body: textOf(t, 1)}
	s.client.SetFault(func(call storetest.Call) storetest.Fault {
		if call.Number == 2 { // the first part
			return storetest.Fault{Before: func() { s.hold(record) }}
		}
		return storetest.Fault{}
	})
	r, err := s.source.Get(t.Context())
	if err != nil || r.Digest != index.Digest {
		t.Fatalf("%v, %v", r.Digest, err)
	}
	if got := s.read.Load(); got != 1 {
		t.Errorf("%d parts were read", got)
	}
}

// The record held came from a peer. A change then costs its own parts only, as
// if this node had read the others.
func TestPartsOfAPeersRecordAreNotRead(t *testing.T) {
	s := newSite(t)
	index := s.promote(1)
	s.hold(fleet.Record{Environment: "dawn/production", Revision: 1, Digest: index.Digest, Body: textOf(t, 1)})
	s.promote(2)
	if _, err := s.source.Get(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := s.read.Load(); got < 1 || got > 2 {
		t.Errorf("%d parts were read", got)
	}
}
