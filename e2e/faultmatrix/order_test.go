package faultmatrix

import (
	"github.com/cicadatack/cicadatack/standin/storefake"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/shardowner"
	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/ledger"
)

const (
	orderKey  = "site-7-tuesday"
	orderBody = `{"feed":"4mm","kg":800}`
	txn       = storefake.PathTxn
	// asksAfter bounds how often a caller comes back, and comeBack is the pause
	// between: a caller that is told to come back does so.
	asksAfter = 40
	comeBack  = 250 * time.Millisecond
)

// onLedger arms a trap on the ledger's writes.
func onLedger(trap rig.Trap) func(*cell, func()) {
	return func(c *cell, spring func()) {
		trap := trap
		trap.Path = txn
		trap.Body = rig.Key("/cicadatack/" + harness.Environment + "/ledger/")
		trap.Spring = spring
		c.Store.Set(&trap)
	}
}

// onPlains arms a trap on every instance of the plain service.
func onPlains(trap rig.Trap) func(*cell, func()) {
	return func(c *cell, spring func()) {
		var first sync.Once
		for i := range c.Plains {
			t := trap
			t.Path = "/orders"
			t.Spring = func() {
				first.Do(func() {
					c.plain.Store(int32(i))
					spring()
				})
			}
			c.Plains[i].Set(&t)
		}
	}
}

var orderSteps = []step{
	{"claim asked", onLedger(rig.Trap{When: rig.Before})},
	{"claim written", onLedger(rig.Trap{When: rig.After})},
	{"order arrives", onPlains(rig.Trap{When: rig.Before})},
	{"order placed", onPlains(rig.Trap{When: rig.After})},
	{"result asked", onLedger(rig.Trap{When: rig.Before, Skip: 1})},
	{"result written", onLedger(rig.Trap{When: rig.After, Skip: 1})},
}

const orderPathName = "order"

var orderPath = path{
	name:   orderPathName,
	body:   judgeOrder,
	kinds:  []kind{nodeKind, documentKind, storeKind, plainFaults[:4], plainFaults[4:]},
	steps:  orderSteps,
	faults: joined(nodeFaults, plainFaults, pairs, plainPairs),
	omitted: []omission{
		{joined(engineFaults, allPaused, slowEngine, wrongEngine), "an order touches no engine"},
		{joined(peerFaults, ownerFaults), "the first node writes the order's shard itself; the next path has another node write it"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
}

// A caller places an order at the first node while a fault strikes at a step,
// then asks again under the same key at the second node until told that the
// order is done or that it is unknown and will not be sent again. However often
// it asks, the order arrives at most once; once if any answer says done; not at
// all while every answer says not run. What the first node has said is done, and
// the node was not killed, the second one comes to say too, once the store is
// back.
func TestOrder(t *testing.T) {
	orderPath.each(t)
}

func judgeOrder(c *cell) {
	said := []outcome.Outcome{c.ask(0)}
	c.sprang()
	c.Heal()
	// A second fault may strike at any later answer.
	kept := func() bool { return said[0] == outcome.Done && !c.wasKilled(0) }
	for range asksAfter {
		said = append(said, c.askNext())
		if last := said[len(said)-1]; last == outcome.Done || (last == outcome.Unknown && !kept()) {
			break
		}
		c.Heal()
		time.Sleep(comeBack)
	}
	if kept() && said[len(said)-1] != outcome.Done {
		c.t.Errorf("the first node said done, the second one never did: %q", said)
	}
	c.Heal()
	c.judgeSaid(said)
	c.nodesSane()
}

// askNext asks the second node, or the third if the second is gone.
func (c *cell) askNext() outcome.Outcome {
	node := 1
	if c.wasKilled(node) || c.wasDrained(node) {
		node = 2
	}
	c.serving.Store(int32(node))
	return c.ask(node)
}

// ownedPath is an order that comes to the second node, while the first one is
// the owner of its shard: of the three names it ranks first for it. The faults
// of "node" strike the owner.
var ownedPath = path{
	name:   "order by its owner",
	steps:  orderSteps,
	faults: joined(nodeFaults, ownerFaults, ownerPairs),
	omitted: []omission{
		{joined(engineFaults, allPaused, slowEngine, wrongEngine), "an order touches no engine"},
		{peerFaults, "faults of the owner and of the asked node stand for them"},
		{plainFaults, "who writes the claim is nothing to the endpoint; the path before has them"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
	body:    judgeOwned,
	noPairs: "faults at two steps of an order are on the path before; here two come together at one step",
	adjust:  func(config *rig.Config) { config.PeerLinks = true },
}

// A caller places an order at the second node, which has the first one write
// its claim and result, while a fault strikes at a step: the owner dies,
// freezes, drains or is cut off from its peers, or the store fails. The second
// node claims by itself then, under the same attempt id. The caller asks again
// at the third node. However often it asks, the order arrives at most once, and
// what it was told is true, as in TestOrder.
func TestOrderByItsOwner(t *testing.T) {
	ownedPath.each(t)
}

func judgeOwned(c *cell) {
	said := []outcome.Outcome{c.ask(1)}
	c.sprang()
	c.Heal()
	kept := said[0] == outcome.Done && !c.struckBy("asked node killed")
	c.judgeSaid(append(said, c.askUntilKnown(2, kept)...))
	c.nodesSane()
}

// The order's shard must be another node's in the path that says so, or its
// cells prove nothing.
func TestFirstNodeOwnsTheOrder(t *testing.T) {
	nodes := shardowner.New()
	nodes.SetLive([]string{"entry-1", "entry-2", "entry-3"})
	key := ledger.Key{Team: harness.Team, Service: harness.Plain, Key: orderKey}
	if got := nodes.Pick(time.Now(), shardowner.ShardName(key.Shard())); got != "entry-1" {
		t.Errorf("the order's shard is owned by %s", got)
	}
}

// askUntilKnown asks a node again until told that the order is done, or that it
// is unknown and will not be sent again. kept says that it must be done.
func (c *cell) askUntilKnown(node int, kept bool) []outcome.Outcome {
	var said []outcome.Outcome
	for range asksAfter {
		last := c.ask(node)
		said = append(said, last)
		if last == outcome.Done || (last == outcome.Unknown && !kept) {
			return said
		}
		time.Sleep(comeBack)
	}
	if kept {
		c.t.Errorf("the first node said done, the next one never did: %q", said)
	}
	return said
}

// ask places the order at a node. A connection that breaks tells the caller
// nothing.
func (c *cell) ask(node int) outcome.Outcome {
	reply, err := c.Caller.Order(c.ctx, c.node(node), orderKey, orderBody)
	if err != nil {
		return outcome.Unknown + " (connection broke)"
	}
	if reply.Outcome == outcome.Done && reply.Status != http.StatusCreated {
		c.t.Errorf("done with status %d: %s", reply.Status, reply.Body)
	}
	return reply.Outcome
}

// askSecondNode asks another node while the one that the caller asked is at work.
func (c *cell) askSecondNode() { c.askNode(c.other()) }

func (c *cell) askNode(i int) {
	go func() { _, _ = c.Caller.Order(c.ctx, c.node(i), orderKey, orderBody) }()
}

// secondNodeFirst lets another node serve the caller first.
func (c *cell) secondNodeFirst() {
	said := c.ask(c.other())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, said)
}

func (c *cell) other() int { return int(c.serving.Load()+1) % nodeCount }

// judgeSaid compares what the caller was told with what arrived.
func (c *cell) judgeSaid(last []outcome.Outcome) {
	c.mu.Lock()
	said := append(c.told, last...)
	c.mu.Unlock()
	arrived := len(c.Orders())
	done, onlyNotRun := false, true
	for _, o := range said {
		done = done || o == outcome.Done
		onlyNotRun = onlyNotRun && o == outcome.NotRun
	}
	switch last := said[len(said)-1]; {
	case arrived > 1:
		c.t.Errorf("the order arrived %d times; the caller was told %q: %+v", arrived, said, c.Orders())
	case done && arrived != 1:
		c.t.Errorf("the caller was told %q, the order arrived %d times", said, arrived)
	case onlyNotRun && arrived != 0:
		c.t.Errorf("the caller was told only not-run, the order arrived %d times", arrived)
	case last != outcome.Done && last != outcome.Unknown:
		c.t.Errorf("the caller was never told what became of it: %q", said)
	}
}
