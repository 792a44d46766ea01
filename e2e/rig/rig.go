// Package rig runs real node processes against stand-ins inside the test, so
// that a fault can be put at an exact step of a call: a trap springs when a
// stand-in sees that step, and does what the test says. Nothing waits for time
// to pass.
package rig

import (
	"context"
	"errors"
	"fmt"
	"github.com/cicadatack/cicadatack/platform/kv"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
)

// Config sizes a rig.
type Config struct {
	Bin, Dir string
	Nodes    int
	Chains   int
	Plains   int
	// Step is the engines' time for a token.
	Step time.Duration
	// CheckFencing makes the engines refuse old placement versions.
	CheckFencing bool
	// PeerLinks puts a link before each node's peers' listener.
	PeerLinks bool
	Layout    harness.Layout
	// AdjustEngine, if set, changes an engine's settings before it starts.
	AdjustEngine func(*engine.Config)
}

// Engine is a stand-in engine and the link that nodes and engines reach it by.
type Engine struct {
	*engine.Engine
	Served
}

// PlainService is a stand-in plain service and its link.
type PlainService struct {
	*plain.Server
	Served
}

// Store is the stand-in store and its link.
type Store struct {
	*storefake.Server
	Served
}

// Served is a trapped stand-in behind a link.
type Served struct {
	Link *link.Link
	trap *trapped
	http *http.Server
}

// Set arms a trap.
func (s *Served) Set(t *Trap) { s.trap.set(t) }

// LastCall is when the stand-in last got a call whose path ends so; zero if it
// never did.
func (s *Served) LastCall(path string) time.Time { return s.trap.lastCall(path) }

// Address is the link's.
func (s *Served) Address() string { return s.Link.Address() }

// Kill ends the stand-in as a crash does. Nothing heals that: a link that went on
// would lead to the stand-in's port, which may be another's by then.
func (s *Served) Kill() {
	s.Link.Close()
	s.http.Close()
}

// Rig is a running set of nodes and stand-ins.
type Rig struct {
	Config Config
	Store  Store
	Chains [][2]Engine
	Plains []PlainService
	Nodes  []*harness.Process
	// PeerLinks are what the other nodes reach each node by, if asked for.
	PeerLinks []*link.Link
	Caller    *harness.Caller
	// Client is the test's own way to the store, past the link and the traps:
	// what the test does itself must not spring what waits for the nodes.
	Client   *store.Client
	Promoter *promotion.Promoter

	ip      string
	closers []func()
}

// Start starts a rig, promotes its document and waits until every node serves
// it and sees the others.
func Start(ctx context.Context, cfg Config) (*Rig, error) {
	r := &Rig{Config: cfg, ip: ownIP(), Caller: &harness.Caller{Key: harness.TeamKey, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}}
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// rigs counts the rigs of this process.
var rigs atomic.Uint32

// ownIP is a loopback address for one rig, which other rigs and other test
// processes do not listen on.
//
// With one address for all, the port of a stand-in or node that was killed could
// go to another rig while nodes of the first one still sent there: the symptom
// was an order that arrived five times, as four of them were other cells'.
func ownIP() string {
	n := rigs.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250%250, 1+n%250)
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.startStandins(); err != nil {
		return err
	}
	if err := r.Promote(ctx, 1); err != nil {
		return err
	}
	for range r.Config.Nodes {
		if err := r.AddNode(); err != nil {
			return err
		}
	}
	return r.WaitAll(ctx, func(s operators.Status) bool {
		return s.Ready && s.Revision >= 1 && liveMembers(s) == len(r.Nodes)
	})
}

func (r *Rig) startStandins() error {
	fake := storefake.New()
	r.closers = append(r.closers, fake.Close)
	served, err := r.serve(fake)
	if err != nil {
		return err
	}
	r.Store = Store{fake, served}
	for i := range r.Config.Chains {
		pair, err := r.startChain(i)
		if err != nil {
			return err
		}
		r.Chains = append(r.Chains, pair)
	}
	for i := range r.Config.Plains {
		p := plain.New(harness.PlainName(i), 64)
		served, err := r.serve(p)
		if err != nil {
			return err
		}
		r.Plains = append(r.Plains, PlainService{p, served})
	}
	direct, err := r.listen(fake)
	if err != nil {
		return err
	}
	r.Client, err = kv.Open(direct.Addr, store.Config{})
	r.Promoter = promotion.New(r.Client)
	return err
}

func (r *Rig) startChain(replica int) ([2]Engine, error) {
	var pair [2]Engine
	for stage := range pair {
		first, last := harness.StageLayers(stage)
		cfg := engine.Config{
			Name:  harness.EngineName(replica, stage),
			Model: harness.Model,
			First: first,
			Last:  last,
			Step:  r.Config.Step,

			CheckFencing: r.Config.CheckFencing,
		}
		if r.Config.AdjustEngine != nil {
			r.Config.AdjustEngine(&cfg)
		}
		e := engine.New(cfg)
		r.closers = append(r.closers, e.Close)
		served, err := r.serve(e)
		if err != nil {
			return pair, err
		}
		pair[stage] = Engine{e, served}
	}
	return pair, nil
}

// serve puts a stand-in behind traps and a link.
func (r *Rig) serve(h http.Handler) (Served, error) {
	var err error
	s := Served{trap: newTrapped(h)}
	if s.http, err = r.listen(s.trap); err != nil {
		return Served{}, err
	}
	if s.Link, err = link.Listen(s.http.Addr); err != nil {
		return Served{}, err
	}
	r.closers = append(r.closers, func() { s.Link.Close() })
	return s, nil
}

// listen serves a handler on a free port.
func (r *Rig) listen(h http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(r.ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &http.Server{Addr: listener.Addr().String(), Handler: h}
	go s.Serve(listener) //nolint:errcheck // ends with Close
	r.closers = append(r.closers, func() { s.Close() })
	return s, nil
}

// Promote puts the rig's document in force with a team weight that tells its
// versions apart.
func (r *Rig) Promote(ctx context.Context, weight float64) error {
	text, err := r.Document(weight)
	if err != nil {
		return err
	}
	tried, err := r.Promoter.Trial(ctx, harness.Environment, text, "rig")
	if err != nil {
		return err
	}
	base := int64(0)
	if current, err := r.Promoter.InForce(ctx, harness.Environment); err == nil {
		base = current.Revision
	}
	_, err = r.Promoter.Promote(ctx, harness.Environment, tried.Digest, base, promotion.NewID(), "rig")
	return err
}

// Document is the rig's environment document.
func (r *Rig) Document(weight float64) ([]byte, error) {
	l := r.Config.Layout
	for i, pair := range r.Chains {
		var chain [2]harness.Endpoint
		for stage := range pair {
			chain[stage] = harness.Endpoint{Name: harness.EngineName(i, stage), Address: pair[stage].Address()}
		}
		l.Chains = append(l.Chains, chain)
	}
	for i := range r.Plains {
		l.Plains = append(l.Plains, harness.Endpoint{Name: harness.PlainName(i), Address: r.Plains[i].Address()})
	}
	return l.Document(weight)
}

// AddNode starts one more node and puts it on the platform's list.
func (r *Rig) AddNode() error {
	if r.Config.PeerLinks {
		return r.addLinkedNode()
	}
	return r.addNode("")
}

func (r *Rig) addNode(peers string) error {
	p, err := harness.StartListedNode(r.Config.Bin, r.Config.Dir, r.ip, r.Store.Address(), len(r.Nodes), peers)
	if err != nil {
		return err
	}
	r.Nodes = append(r.Nodes, p)
	return nil
}

func (r *Rig) addLinkedNode() error {
	l, err := link.Listen(net.JoinHostPort(r.ip, "0")) // the node's port is not known yet
	if err != nil {
		return err
	}
	r.closers = append(r.closers, func() { l.Close() })
	r.PeerLinks = append(r.PeerLinks, l)
	if err := r.addNode(l.Address()); err != nil {
		return err
	}
	l.SetTarget(r.Nodes[len(r.Nodes)-1].Addresses.Peers)
	return nil
}

// WaitAll waits until the state of every node fits; one that ends is left out.
func (r *Rig) WaitAll(ctx context.Context, fits func(operators.Status) bool) error {
	for _, n := range r.Nodes {
		if _, err := harness.WaitStatus(ctx, n, fits); err != nil && !errors.Is(err, harness.ErrEnded) {
			return err
		}
	}
	return nil
}

func liveMembers(s operators.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.State == "live" {
			n++
		}
	}
	return n
}

// Orders returns every order that reached any instance of the plain service.
func (r *Rig) Orders() []plain.Order {
	var all []plain.Order
	for i := range r.Plains {
		all = append(all, r.Plains[i].Orders()...)
	}
	return all
}

// Heal ends the faults of links and stand-ins, and lets frozen nodes go on.
func (r *Rig) Heal() {
	r.Store.Link.Heal()
	r.Store.SetFaults(storefake.Faults{})
	for _, pair := range r.Chains {
		for stage := range pair {
			pair[stage].Link.Heal()
			pair[stage].SetFaults(engine.Faults{})
		}
	}
	for i := range r.Plains {
		r.Plains[i].Link.Heal()
		r.Plains[i].SetFaults(plain.Faults{})
	}
	for _, l := range r.PeerLinks {
		l.Heal()
	}
	for _, n := range r.Nodes {
		_ = n.Thaw() // it may have ended
	}
}

// Close ends everything.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Kill()
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// Key is a part of a store call's body that names a key with the given prefix, as
// the wire has it.
func Key(prefix string) string { return `"key":"` + prefix }

// Engines asks stand-in engines as a node does.
var Engines = engineclient.New(nil)
