package site

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// View is the platform as one node sees it: a store of which the entries of replicas name
// addresses of links that only this node uses, so that its ways to replicas can fail alone.
type View struct {
	site   *Site
	server *httptest.Server

	mu sync.Mutex
	// links are the ways to replicas, by the replica's address; down is how the ways to some
	// replicas fail, nil if none does.
	links map[string]*link.Link
	down  func(replica string) func(*link.Link)
}

// NewView returns a view of the site in which all replicas are reached.
func (s *Site) NewView() *View {
	v := &View{site: s, links: map[string]*link.Link{}}
	v.server = httptest.NewServer(http.HandlerFunc(v.serve))
	return v
}

// Address is the store's, for the node whose view this is.
func (v *View) Address() string { return v.server.Listener.Addr().String() }

// Close ends the store's door and the links.
func (v *View) Close() {
	v.server.CloseClientConnections()
	v.server.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.links {
		_ = l.Close() // the test ends
	}
}

// Cut lets the ways to all replicas fail, also to those that come later, until Heal.
func (v *View) Cut(fault func(*link.Link)) {
	v.CutSome(fault, func(string) bool { return true })
}

// CutSome lets the ways to the replicas fail whose ids cut names, until Heal.
func (v *View) CutSome(fault func(*link.Link), cut func(replica string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = func(replica string) func(*link.Link) {
		if cut(replica) {
			return fault
		}
		return nil
	}
	for id, r := range v.site.Replicas() {
		if l := v.links[r.Address]; l != nil && cut(id) {
			fault(l)
		}
	}
}

// Heal ends all faults of the ways to replicas.
func (v *View) Heal() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = nil
	for _, l := range v.links {
		l.Heal()
	}
}

// serve passes a call on to the store, whose answer names the links' addresses. Nothing but the entries of
// replicas is decoded: large entries of another writer would make the store slower than nodes wait for it.
func (v *View) serve(w http.ResponseWriter, r *http.Request) {
	v.site.Store.ServeHTTP(w, storefake.View(v.rewrite).As(r))
}

// rewrite replaces the address in the entry of a replica.
func (v *View) rewrite(key string, value []byte) []byte {
	id, isEntry := strings.CutPrefix(key, "servers/")
	if !isEntry || !v.namesReplica(value) {
		return value // another writer's entry stays as it is
	}
	var entry map[string]json.RawMessage
	var address string
	if json.Unmarshal(value, &entry) != nil || json.Unmarshal(entry["addr"], &address) != nil || !v.isReplica(address) {
		return value
	}
	entry["addr"] = mustMarshal(v.linkTo(id, address))
	return mustMarshal(entry)
}

// namesReplica reports whether the address of a replica is in an entry.
func (v *View) namesReplica(entry []byte) bool {
	return slices.ContainsFunc(v.addresses(), func(address string) bool { return bytes.Contains(entry, []byte(strconv.Quote(address))) })
}

// addresses are those that are, or were, of replicas.
func (v *View) addresses() []string {
	var list []string
	for _, r := range v.site.Replicas() {
		list = append(list, r.Address)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.AppendSeq(list, maps.Keys(v.links))
}

// isReplica reports whether an address is, or was, that of a replica.
func (v *View) isReplica(address string) bool { return slices.Contains(v.addresses(), address) }

// linkTo returns the address of the link to a replica, which it opens if there is none.
func (v *View) linkTo(id, address string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l := v.links[address]; l != nil {
		return l.Address()
	}
	l, err := link.Listen(address)
	if err != nil {
		return address // the test sees a node that is not cut off
	}
	v.links[address] = l
	v.site.Fleet.Alias(l.Address(), address)
	if v.down != nil {
		if fault := v.down(id); fault != nil {
			fault(l)
		}
	}
	return l.Address()
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // what was decoded from JSON can be encoded
	}
	return data
}
