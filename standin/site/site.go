// Package site stands in for the users' platform in tests: its store, an operator who
// writes configurations, and replicas that keep their entries.
package site

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// What the configuration names.
const (
	Host         = "a.example"
	ModelService = "llm"
	PlainService = "ledger"
	Team         = "bogor"
	// Layers of the model; a card of kind Card holds seven of them at the most.
	Layers = 8
	Card   = "l4"
)

// Site is a platform in this process. Safe for concurrent use.
type Site struct {
	Store *storefake.Server
	Fleet *replica.Fleet

	server *httptest.Server

	mu       sync.Mutex
	replicas map[string]*replica.Replica
	version  int
}

// New returns a site with a store and nothing in it.
func New() *Site {
	s := &Site{Store: storefake.New(), Fleet: replica.NewFleet(Layers), replicas: map[string]*replica.Replica{}}
	s.server = httptest.NewServer(s.Store)
	return s
}

// Address is the store's.
func (s *Site) Address() string { return s.server.Listener.Addr().String() }

// Close ends replicas and store.
func (s *Site) Close() {
	s.Fleet.Close()
	s.Store.Close()
	s.server.Close()
}

// Put writes a key as the operator or a replica does, whatever stood there.
func (s *Site) Put(key string, value []byte) {
	s.write(storetest.Write{Key: key, Value: value})
}

func (s *Site) write(w storetest.Write) {
	if _, _, err := s.Store.Memory().Txn(nil, []storetest.Write{w}); err != nil {
		panic(err) // no lease is named, so nothing can refuse it
	}
}

// Configure writes the next version of the configuration, with these keys of the one
// team.
func (s *Site) Configure(keys ...string) { s.configure(configuration, keys) }

func (s *Site) configure(text string, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3 // versions rise in uneven steps
	list, err := json.Marshal(keys)
	if err != nil {
		panic(err) // strings can always be encoded
	}
	s.Put("op/config", fmt.Appendf(nil, text, s.version, list))
}

// ConfigureUrgency is Configure with a second route of the model, /later/, whose requests are less
// urgent, and a team without a priority of its own. The model is then under load control.
func (s *Site) ConfigureUrgency(keys ...string) {
	s.configure(strings.NewReplacer(
		`"routes":[`, `"routes":[
  {"name":"later","host":"a.example","prefix":"/later/","kind":"stream","timeoutMs":20000,"goalMs":500,"gapAimMs":200,
   "maxAttempts":2,"resumable":true,"service":"llm","priority":2},`,
		`,"priority":1}]`, `}]`,
	).Replace(configuration), keys)
}

// ConfigureEdited is Configure with parts of its text replaced: pairs of what is there and what takes
// its place.
func (s *Site) ConfigureEdited(keys []string, edits ...string) {
	s.configure(strings.NewReplacer(edits...).Replace(configuration), keys)
}

const configuration = `{"version":%d,
 "routes":[
  {"name":"r1","host":"a.example","prefix":"/ask/","kind":"stream","timeoutMs":20000,"goalMs":500,"gapAimMs":200,
   "maxAttempts":2,"resumable":true,"service":"llm"},
  {"name":"r2","host":"a.example","prefix":"/order/","kind":"unsafe","timeoutMs":1500,"goalMs":300,"maxAttempts":1,"service":"ledger"},
  {"name":"r3","host":"a.example","prefix":"/read/","kind":"safe","timeoutMs":1500,"goalMs":300,"maxAttempts":2,"service":"ledger"},
  {"name":"r4","host":"a.example","prefix":"/open/","kind":"safe","timeoutMs":1500,"goalMs":300,"maxAttempts":2,"public":true,"service":"ledger"}],
 "services":[
  {"name":"llm","maxConns":4000,"engine":{"kvBytes":8000,"layers":8,"layerMb":100,"step_ms":1,
   "models":[{"loadS":0.01}],"kinds":[{"name":"l4","mb":700,"pace":1}]}},
  {"name":"ledger","maxConns":96}],
 "limits":{"maxBodyBytes":1000},
 "tenants":[{"name":"bogor","apiKeys":%s,"priority":1}]}`

// Add starts a replica and writes its entry.
func (s *Site) Add(c replica.Config) error {
	r, err := s.Fleet.Add(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.replicas[c.ID] = r
	s.mu.Unlock()
	s.Beat()
	return nil
}

// AddUsual starts four model replicas, enough for two chains, and two of the plain
// service.
func (s *Site) AddUsual(model replica.Config) error {
	for i := range 4 {
		c := model
		c.ID, c.Service, c.Kind, c.Model = fmt.Sprint("i-model-", i), ModelService, Card, true
		if err := s.Add(c); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := s.Add(replica.Config{ID: fmt.Sprint("i-plain-", i), Service: PlainService, Domain: model.Domain}); err != nil {
			return err
		}
	}
	return nil
}

// Replica returns a replica that was not lost, or nil.
func (s *Site) Replica(id string) *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[id]
}

// Replicas returns those that were not lost.
func (s *Site) Replicas() map[string]*replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[string]*replica.Replica{}
	for id, r := range s.replicas {
		list[id] = r
	}
	return list
}

// Beat renews the entries of all replicas.
func (s *Site) Beat() {
	for id, r := range s.Replicas() {
		s.Put("servers/"+id, r.Entry())
	}
}

// Lose ends a replica without a word. Its entry stays until Forget.
func (s *Site) Lose(id string) {
	s.mu.Lock()
	r := s.replicas[id]
	delete(s.replicas, id)
	s.mu.Unlock()
	if r != nil {
		r.Kill()
	}
}

// Unlist removes the entry of a replica that leaves without announcing it. The replica
// keeps serving, and registers no entry any more.
func (s *Site) Unlist(id string) {
	s.mu.Lock()
	delete(s.replicas, id)
	s.mu.Unlock()
	s.Forget(id)
}

// Forget removes the entry of a replica, as the platform does when it lapses.
func (s *Site) Forget(id string) {
	s.write(storetest.Write{Key: "servers/" + id, Delete: true})
}
