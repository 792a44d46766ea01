package faultmatrix

import (
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/document"
)

// fault is something that goes wrong at a step.
type fault struct {
	name string
	do   func(c *cell)
}

var nodeFaults = []fault{
	{"node killed", (*cell).killNode},
	{"node frozen for a while", (*cell).freezeNode},
	{"node drained", (*cell).drainNode},
	{"document promoted", (*cell).promoteOther},
	{"store down", func(c *cell) { c.Store.SetFaults(storefake.Faults{Outage: true}) }},
	{"store slow", func(c *cell) { c.Store.SetFaults(storefake.Faults{SlowMillis: 300}) }},
	{"store reply lost", func(c *cell) { c.Store.SetFaults(storefake.Faults{LoseReplies: 1}) }},
	{"store request lost", func(c *cell) { c.Store.SetFaults(storefake.Faults{LoseRequests: 1}) }},
}

var engineFaults = []fault{
	{"first stage killed", func(c *cell) { c.Chains[c.chain.Load()][0].Kill() }},
	{"second stage killed", func(c *cell) { c.Chains[c.chain.Load()][1].Kill() }},
	{"first stage frozen", func(c *cell) { c.Chains[c.chain.Load()][0].SetFaults(engine.Faults{Freeze: true}) }},
	{"second stage frozen", func(c *cell) { c.Chains[c.chain.Load()][1].SetFaults(engine.Faults{Freeze: true}) }},
	{"first stage cut off", func(c *cell) { c.Chains[c.chain.Load()][0].Link.Cut() }},
	{"second stage cut off", func(c *cell) { c.Chains[c.chain.Load()][1].Link.Cut() }},
	{"second stage very slow", func(c *cell) { c.Chains[c.chain.Load()][1].SetFaults(engine.Faults{SlowPerToken: 2 * time.Second}) }},
}

// The kinds of faults that pairs at two steps are made of, as far as paths share
// them. Members of a kind strike the same thing.
var (
	nodeKind     = kind(named(nodeFaults, "node killed", "node frozen for a while", "node drained"))
	documentKind = kind(named(nodeFaults, "document promoted"))
	storeKind    = kind(named(nodeFaults, "store down", "store slow", "store reply lost", "store request lost"))
	brokenEngine = kind(named(engineFaults, "first stage killed", "second stage killed", "first stage cut off", "second stage cut off"))
	stuckEngine  = kind(named(engineFaults, "first stage frozen", "second stage frozen", "second stage very slow"))
)

// allPaused stop every chain at once for a while, as a switch does that starts
// again.
var allPaused = []fault{
	{"every chain frozen for a while", func(c *cell) { c.pauseChains() }},
}

// slowEngine is too slow to be quick and too steady to be left.
var slowEngine = []fault{
	{"second stage slow", func(c *cell) {
		c.Chains[c.chain.Load()][1].SetFaults(engine.Faults{SlowPerToken: 100 * time.Millisecond})
	}},
}

// peerFaults concern a drain: the first node is the one that leaves.
var peerFaults = []fault{
	{"peer killed", func(c *cell) { c.Nodes[1].Kill() }},
	{"peer drained", func(c *cell) { c.signal(c.Nodes[1], syscall.SIGTERM) }},
	{"second SIGTERM", func(c *cell) { c.signal(c.Nodes[0], syscall.SIGTERM) }},
}

// ownerFaults concern an order that comes to the second node while the first
// one writes its shard of the ledger.
var ownerFaults = []fault{
	{"owner cut off from its peers", func(c *cell) { c.cutOwner() }},
	{"owner's link frozen", func(c *cell) { c.freezeOwnerLink() }},
	{"asked node killed", func(c *cell) { c.Nodes[1].Kill() }},
	{"asked node frozen for a while", func(c *cell) { c.freeze(1) }},
	{"caller asks a third node", func(c *cell) { c.askNode(2) }},
}

var ownerPairs = []fault{
	both(one(ownerFaults, "owner cut off from its peers"), one(nodeFaults, "store reply lost")),
	both(one(ownerFaults, "owner's link frozen"), one(ownerFaults, "asked node frozen for a while")),
	both(one(ownerFaults, "caller asks a third node"), one(nodeFaults, "node frozen for a while")),
	both(one(nodeFaults, "store reply lost"), one(nodeFaults, "node killed")),
}

// wrongEngine makes tokens that must not reach the caller.
var wrongEngine = []fault{
	{"second stage skips a layer", func(c *cell) {
		c.Chains[c.chain.Load()][1].SetFaults(engine.Faults{SkipLayer: layer(harness.Layers - 1)})
	}},
	{"first stage runs a layer twice", func(c *cell) { c.Chains[c.chain.Load()][0].SetFaults(engine.Faults{RepeatLayer: layer(1)}) }},
	{"first stage sends another's tokens", func(c *cell) { c.Chains[c.chain.Load()][0].SetFaults(engine.Faults{WrongStream: true}) }},
}

func layer(n int) *int { return &n }

var plainFaults = []fault{
	{"endpoint killed", func(c *cell) { c.Plains[c.plain.Load()].Kill() }},
	{"endpoint cut off", func(c *cell) { c.Plains[c.plain.Load()].Link.Cut() }},
	{"endpoint refuses", func(c *cell) { c.eachPlain(plain.Faults{Refuse: true}) }},
	{"endpoint drops the reply", func(c *cell) { c.eachPlain(plain.Faults{DropReply: 1}) }},
	{"caller asks a second node", func(c *cell) { c.askSecondNode() }},
	{"a second node serves the caller first", func(c *cell) { c.secondNodeFirst() }},
}

// pairs are two faults at one step.
var pairs = []fault{
	both(one(nodeFaults, "store down"), one(nodeFaults, "node killed")),
	both(one(nodeFaults, "store reply lost"), one(nodeFaults, "node frozen for a while")),
	both(one(nodeFaults, "node drained"), one(nodeFaults, "store down")),
	both(one(nodeFaults, "document promoted"), one(nodeFaults, "node drained")),
}

var enginePairs = []fault{
	both(one(engineFaults, "second stage killed"), one(nodeFaults, "node drained")),
	both(one(engineFaults, "second stage frozen"), one(nodeFaults, "store down")),
	both(one(engineFaults, "first stage cut off"), one(nodeFaults, "document promoted")),
}

var plainPairs = []fault{
	both(one(plainFaults, "endpoint drops the reply"), one(nodeFaults, "store reply lost")),
	both(one(plainFaults, "endpoint cut off"), one(nodeFaults, "node drained")),
	both(one(plainFaults, "caller asks a second node"), one(nodeFaults, "node killed")),
	both(one(plainFaults, "a second node serves the caller first"), one(nodeFaults, "node frozen for a while")),
}

func both(a, b fault) fault {
	return fault{a.name + " + " + b.name, func(c *cell) { a.do(c); b.do(c) }}
}

// one returns the fault of a name.
func one(list []fault, name string) fault {
	for _, f := range list {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// named returns the faults of some names.
func named(list []fault, names ...string) []fault {
	var some []fault
	for _, name := range names {
		some = append(some, one(list, name))
	}
	return some
}

func without(list []fault, name string) []fault {
	return slices.DeleteFunc(slices.Clone(list), func(f fault) bool { return f.name == name })
}

func joined(lists ...[]fault) []fault {
	var all []fault
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// killNode strikes the node that the caller asks now, as the next two do.
func (c *cell) killNode() {
	node := c.serving.Load()
	c.Nodes[node].Kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed[node] = true
}

func (c *cell) freezeNode() {
	c.freeze(int(c.serving.Load()))
}

func (c *cell) freeze(node int) {
	c.signal(c.Nodes[node], syscall.SIGSTOP)
	time.AfterFunc(pause, func() { _ = c.Nodes[node].Thaw() }) // it may have been killed
}

func (c *cell) drainNode() {
	node := c.serving.Load()
	c.signal(c.Nodes[node], syscall.SIGTERM)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[node] = true
}

// signal is for a node that may have ended by an earlier fault.
func (c *cell) signal(node *harness.Process, s os.Signal) {
	if err := node.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		c.must(err)
	}
}

// cutOwner lets no other node reach the first one, which reaches all others and
// the store.
func (c *cell) cutOwner() { c.PeerLinks[0].Cut() }

// freezeOwnerLink holds back what goes to the first node and comes from it over
// the peers' connections, and gives it out late, once the cell heals.
func (c *cell) freezeOwnerLink() { c.PeerLinks[0].Freeze() }

// pauseChains freezes the first engine of every chain for the pause.
func (c *cell) pauseChains() {
	for i := range c.Chains {
		c.Chains[i][0].SetFaults(engine.Faults{Freeze: true})
	}
	time.AfterFunc(pause, func() {
		for i := range c.Chains {
			c.Chains[i][0].SetFaults(engine.Faults{})
		}
	})
}

// promoteOther promotes another document than the one that the path is about,
// and notes that its operator was told that it is in force. A store that an
// earlier fault took down is back by then; one that a later fault takes down
// meanwhile leaves the operator without an answer, which is noted nowhere.
func (c *cell) promoteOther() {
	if c.struckBefore("store") {
		c.healStore()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weight++
	text, err := c.Document(c.weight)
	c.must(err)
	if err := c.Promote(c.ctx, c.weight); err != nil {
		if !c.struckBefore("store") {
			c.t.Error(err)
		}
		return
	}
	c.inForce = append(c.inForce, document.Digest(text))
}

func (c *cell) eachPlain(f plain.Faults) {
	for i := range c.Plains {
		c.Plains[i].SetFaults(f)
	}
}
