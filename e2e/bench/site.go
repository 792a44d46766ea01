package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"github.com/cicadatack/cicadatack/platform/kv"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	environment = "bench"
	region      = "java-west"
	operator    = "siti"
	layers      = 8
	teamCount   = 10
	// storeDelay is the stand-in store's time for a call; the platform's
	// service answers in milliseconds.
	storeDelay = 2
	// ownCalls is the bench's own budget of store calls.
	ownCalls = 100_000
)

var domains = []string{"bandung", "bekasi", "bogor"}

// site is a store, stand-ins and nodes. Close ends them all.
type site struct {
	suite    *suite
	store    *storefake.Server
	address  string
	client   *store.Client
	promoter *promotion.Promoter
	doc      document.Document
	nodes    []*node
	standins []*engine.Engine
	closers  []func()
	// storeCalls is a node's budget of store calls a second; zero: the default.
	storeCalls int
	// load is how often nodes ask endpoints; zero: the defaults.
	load settings.Load

	// What the nodes exchanged with the store, with each other and with
	// endpoints.
	storeTraffic, peerTraffic, endpointTraffic traffic
}

func (s *suite) newSite() (*site, error) {
	t := &site{suite: s, store: storefake.New()}
	t.closers = append(t.closers, t.store.Close)
	var err error
	if t.address, err = t.serve(t.store, &t.storeTraffic); err != nil {
		return nil, err
	}
	t.client, err = kv.Open(t.address, store.Config{CallsPerSecond: ownCalls})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t.promoter = promotion.New(t.client)
	t.doc = document.Document{Format: document.Format, Environment: environment}
	for _, name := range domains {
		t.doc.FailureDomains = append(t.doc.FailureDomains, document.FailureDomain{Name: name, Region: region})
	}
	t.doc.Teams = newTeams(teamCount, 0)
	return t, nil
}

// newTeams returns teams with a key each; limit is in tokens a second.
func newTeams(count int, limit float64) []document.Team {
	teams := make([]document.Team, 0, count)
	for i := range count {
		digest := sha256.Sum256([]byte(keyOf(i)))
		teams = append(teams, document.Team{
			Name:            fmt.Sprintf("team-%03d", i),
			Weight:          1,
			TokensPerSecond: limit,
			KeySHA256:       []string{hex.EncodeToString(digest[:])},
		})
	}
	return teams
}

func keyOf(team int) string { return fmt.Sprintf("bench-key-%03d", team) }

// teamKey spreads callers over the usual teams.
func teamKey(caller int) string { return keyOf(caller % teamCount) }

// close ends all that was started, the latest first.
func (t *site) close() {
	for _, n := range t.nodes {
		n.kill()
	}
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

// serve runs a handler on a free port and counts its bytes.
func (t *site) serve(h http.Handler, count *traffic) (string, error) {
	address, end, err := t.listen(h, count)
	if err != nil {
		return "", err
	}
	t.closers = append(t.closers, end)
	return address, nil
}

// listen is serve for a handler that the caller ends.
func (t *site) listen(h http.Handler, count *traffic) (address string, end func(), err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", nil, Error.Wrap(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(listener{l, count}) //nolint:errcheck // ends with Close
	return l.Addr().String(), func() { server.Close() }, nil
}

// place is an endpoint before it is in the document.
type place struct {
	name, address, domain string
}

func (t *site) addEndpoint(p place) {
	t.doc.Endpoints = append(t.doc.Endpoints, document.Endpoint{Name: p.name, Address: p.address, FailureDomain: p.domain})
}

// addModel enters a model whose replicas are chains of the given endpoints, the
// layers being cut evenly.
func (t *site) addModel(name string, chains [][]place) {
	m := &document.Model{Layers: layers}
	for i, chain := range chains {
		replica := document.Replica{Name: fmt.Sprintf("%s-%d", name, i)}
		for stage, p := range chain {
			t.addEndpoint(p)
			first, last := stageLayers(stage, len(chain))
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: p.name, Layers: []int{first, last}})
		}
		m.Replicas = append(m.Replicas, replica)
	}
	t.doc.Services = append(t.doc.Services, document.Service{Name: name, Kind: document.KindModel, Model: m})
}

func stageLayers(stage, stages int) (first, last int) {
	return stage * layers / stages, (stage+1)*layers/stages - 1
}

func (t *site) addPlain(name string, places ...place) {
	p := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for _, each := range places {
		t.addEndpoint(each)
		p.Endpoints = append(p.Endpoints, each.name)
	}
	t.doc.Services = append(t.doc.Services, document.Service{Name: name, Kind: document.KindPlain, Plain: p})
}

// engines runs single engines, each a whole replica of a new model, and returns
// their addresses.
func (t *site) engines(model string, count int, cfg engine.Config) ([]string, error) {
	var chains [][]place
	var addresses []string
	for i := range count {
		cfg.Name = fmt.Sprintf("%s-engine-%d", model, i)
		cfg.Model = model
		cfg.Last = layers - 1
		e, err := t.engine(domains[i%len(domains)], cfg)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, e.address)
		chains = append(chains, []place{e.place})
	}
	t.addModel(model, chains)
	return addresses, nil
}

// engineVM is an engine that can be taken away.
type engineVM struct {
	place
	kill func()
}

// engine runs one engine on a listener of its own.
func (t *site) engine(domain string, cfg engine.Config) (*engineVM, error) {
	e := engine.New(cfg)
	t.standins = append(t.standins, e)
	address, closeServer, err := t.listen(e, &t.endpointTraffic)
	if err != nil {
		return nil, err
	}
	var once sync.Once
	vm := &engineVM{place: place{cfg.Name, address, domain}, kill: func() {
		once.Do(func() {
			closeServer()
			e.Close()
		})
	}}
	t.closers = append(t.closers, vm.kill)
	return vm, nil
}

// promote puts the document in force in the store; weight tells its versions
// apart.
func (t *site) promote(ctx context.Context, weight float64) error {
	t.doc.Teams[0].Weight = weight
	return t.promoteDocument(ctx)
}

func (t *site) promoteDocument(ctx context.Context) error {
	text, err := json.Marshal(t.doc)
	if err != nil {
		return Error.Wrap(err)
	}
	tried, err := t.promoter.Trial(ctx, environment, text, operator)
	if err != nil {
		return err
	}
	base := int64(0)
	if current, err := t.promoter.InForce(ctx, environment); err == nil {
		base = current.Revision
	}
	_, err = t.promoter.Promote(ctx, environment, tried.Digest, base, promotion.NewID(), operator)
	return err
}

// listVM puts a VM on one of the platform's lists.
func (t *site) listVM(ctx context.Context, list string, p place) error {
	value, err := json.Marshal(map[string]string{"name": p.name, "address": p.address, "failure_domain": p.domain, "state": "live"})
	if err != nil {
		return Error.Wrap(err)
	}
	key := "/platform/vms/" + list + "/" + p.name
	old, err := t.client.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = t.client.CompareAndSwap(ctx, key, old.Revision, value)
	return err
}

// unlistVM takes a VM off one of the platform's lists.
func (t *site) unlistVM(ctx context.Context, list, name string) error {
	key := "/platform/vms/" + list + "/" + name
	old, err := t.client.Get(ctx, key)
	if err != nil {
		return err
	}
	return t.client.CompareAndRemove(ctx, key, old.Revision)
}

// addNode starts node number i with the default settings and lists it.
func (t *site) addNode(ctx context.Context, i int) (*node, error) {
	r, err := newRelay(&t.peerTraffic)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d", i)
	n, err := t.suite.startNode(settings.Settings{
		Name:          name,
		Environment:   environment,
		FailureDomain: domains[i%len(domains)],
		Callers:       settings.Listener{Listen: loopback},
		Peers:         settings.Listener{Listen: loopback, Advertise: r.address()},
		Operators:     settings.Listener{Listen: loopback},
		Store:         settings.Store{Address: t.address, CallsPerSecond: t.storeCalls},
		Load:          t.load,
	}, r)
	if err != nil {
		return nil, err
	}
	n.domain = domains[i%len(domains)]
	t.nodes = append(t.nodes, n)
	r.to.Store(&n.addresses.Peers)
	return n, t.listVM(ctx, "entry", place{name, r.address(), n.domain})
}

// startTimeout bounds the wait for nodes to meet.
const startTimeout = time.Minute

// start promotes the document, starts nodes and waits until all serve it and
// see each other.
func (t *site) start(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := t.promote(ctx, 1); err != nil {
		return err
	}
	for i := range nodes {
		if _, err := t.addNode(ctx, i); err != nil {
			return err
		}
	}
	return t.waitAll(ctx, func(s operators.Status) bool {
		return s.Ready && s.Revision >= 1 && liveMembers(s) == nodes
	})
}

func (t *site) waitAll(ctx context.Context, fits func(operators.Status) bool) error {
	for _, n := range t.nodes {
		if err := n.wait(ctx, fits); err != nil {
			return err
		}
	}
	return nil
}

func (t *site) pids() []int {
	pids := make([]int, 0, len(t.nodes))
	for _, n := range t.nodes {
		pids = append(pids, n.pid())
	}
	return pids
}
