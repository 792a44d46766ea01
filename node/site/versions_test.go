package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// storeDoor is a store as one node reaches it.
type storeDoor struct {
	*httptest.Server
	// late holds back the node's own reads of all that the store holds, away all of its calls.
	late, away atomic.Bool
}

// storeDoor opens a door to the store at an address.
func (p *platform) storeDoor(address string) *storeDoor {
	d := &storeDoor{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.away.Load() || d.late.Load() && r.URL.Path == "/kv-range" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	p.t.Cleanup(d.Close)
	return d
}

// versionRig is a node that is cut off from all replicas and two nodes that serve for it.
type versionRig struct {
	*platform
	cutOff             *running
	view               *site.View
	store, secondStore *storeDoor // of the cut-off node and of the second helper
	toFirst            *link.Link // from the cut-off node to the first helper
	version            site.Version
}

// newVersionRig starts the nodes. All have the same version in force.
func newVersionRig(t *testing.T) *versionRig {
	p := newPlatform(t)
	r := &versionRig{platform: p, version: site.Version{
		Keys: []string{goodKey}, IdleTimeout: 15 * time.Second, StreamTimeout: 20 * time.Second, PlainTimeout: 3 * time.Second,
	}}
	p.ConfigureVersion(r.version)
	p.chains(3, time.Millisecond)
	for i := range 2 {
		if err := p.Add(replica.Config{ID: fmt.Sprint("i-other-", i), Service: site.OtherService, Domain: "bandung"}); err != nil {
			t.Fatal(err)
		}
	}
	_, r.toFirst = p.helper("front-2")
	r.secondStore = p.storeDoor(p.addr.String())
	p.helperAt("front-3", r.secondStore)
	r.view = p.NewView()
	t.Cleanup(r.view.Close)
	r.store = p.storeDoor(netip.MustParseAddrPort(r.view.Address()).String())
	settings := p.settings("front-1")
	settings.Domain, settings.FirstStart = "bekasi", true
	settings.Store = netip.MustParseAddrPort(r.store.Listener.Addr().String())
	r.cutOff = p.start(settings, quick, free)
	r.view.Cut((*link.Link).Reset)
	p.awaitHelpers(r.cutOff, 2)
	p.until("the node knows that it is cut off", func() bool {
		r.cutOff.ask("GET", "/read/1", fmt.Sprint("find-out-", time.Now()), goodKey)
		r.cutOff.ask("GET", "/open/1", fmt.Sprint("find-out-", time.Now()), goodKey)
		r.cutOff.ask("POST", "/ask/1", fmt.Sprint("find-out-", time.Now()), goodKey)
		return len(r.cutOff.status().CutOff) == 3
	})
	return r
}

// serviceOf returns the service that ran a request, "" if none did.
func (r *versionRig) serviceOf(id string) string {
	for _, run := range r.Fleet.Runs(id) {
		return r.Replica(run.Replica).Service
	}
	return ""
}

const (
	// Requests are sent until seenAfter of them have seen the newer version, for seenWithin at most: the
	// proofs of nodes that read late last for four seconds.
	seenAfter  = 40
	seenWithin = 2500 * time.Millisecond
)

// Guards against requests at a cut-off node that an older version handles after a newer one has taken
// effect for its callers: of the nodes that serve for it, one has the newer version and one the older.
func TestForwardedRequestsNeverGoBackToAnOlderVersion(t *testing.T) {
	for _, c := range []struct {
		name                         string
		nodeLate, secondLate, noCall bool
	}{
		{"the second node and the cut-off one read late", true, true, false},
		{"the second node reads late", false, true, false},
		{"the cut-off node reads late", true, false, false},
		{"the cut-off node does not reach the store", false, true, true},
	} {
		for _, path := range []struct{ method, target, from, to string }{
			{"POST", "/order/1", site.PlainService, site.OtherService},
			{"GET", "/read/1", site.OtherService, site.PlainService},
		} {
			t.Run(c.name+", "+path.method, func(t *testing.T) {
				r := newVersionRig(t)
				r.store.late.Store(c.nodeLate)
				r.secondStore.late.Store(c.secondLate)
				r.store.away.Store(c.noCall)
				r.version.Swapped = true
				r.ConfigureVersion(r.version)
				sent, served, after, effect := 0, 0, 0, ""
				for begun := time.Now(); after < seenAfter && time.Since(begun) < seenWithin; sent++ {
					id := fmt.Sprint("moved-", sent)
					got := r.cutOff.ask(path.method, path.target, id, goodKey)
					if got.status == http.StatusOK {
						served++
					}
					switch by := r.serviceOf(id); {
					case by == path.to:
						effect = id
						after++
					case by == path.from && effect != "":
						t.Errorf("%s was run by %s, after %s by %s", id, by, effect, path.to)
					}
				}
				if served < sent*3/4 && !c.noCall {
					t.Errorf("%d of %d requests were served", served, sent)
				}
				if effect == "" && !c.noCall {
					t.Error("the new version never took effect")
				}
				r.view.Heal()
				r.until("the node is not cut off", func() bool { return len(r.cutOff.status().CutOff) == 0 })
				if got := r.cutOff.ask(path.method, path.target, "healed", goodKey); effect != "" && r.serviceOf("healed") == path.from {
					t.Errorf("after the cut: status %d, run by %s", got.status, path.from)
				}
			})
		}
	}
}

// Guards against streams that are served on a route that a newer version has removed, after a caller
// of the same node was told so: the node that has told so is gone, and another one has the older version.
func TestForwardedStreamsNeverGoBackToARemovedRoute(t *testing.T) {
	r := newVersionRig(t)
	r.store.late.Store(true)
	r.secondStore.late.Store(true)
	r.ConfigureEdited([]string{goodKey}, `"/ask/"`, `"/other/"`)
	removed, after := "", 0
	for begun, i := time.Now(), 0; after < seenAfter && time.Since(begun) < seenWithin; i++ {
		id := fmt.Sprint("stream-", i)
		switch got := r.cutOff.ask("POST", "/ask/1", id, goodKey); {
		case got.status == http.StatusNotFound:
			removed = id
			after++
			r.toFirst.Reset()
		case got.status == http.StatusOK && removed != "":
			t.Errorf("%s was served, after %s was refused as its route is gone", id, removed)
		}
	}
	if removed == "" {
		t.Error("the new version never took effect")
	}
}
