package faultmatrix

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// leaveBound is after how long an endpoint that leaves gets nothing new.
	leaveBound = 3 * time.Second
	// watchOn is how long after that callers go on coming.
	watchOn = time.Second
)

// leavingAt makes an endpoint of the chain that serves the stream leave at the
// stream's first token; the fault strikes right after.
func leavingAt(leave func(c *cell)) func(*cell, func()) {
	return func(c *cell, spring func()) {
		announce := func() {
			leave(c)
			c.leftAt = time.Now()
			spring()
		}
		onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtToken, Token: 1})(c, announce)
	}
}

// plainLeavingAt is the same for a plain endpoint that has an order.
func plainLeavingAt(leave func(c *cell)) func(*cell, func()) {
	return func(c *cell, spring func()) {
		announce := func() {
			leave(c)
			c.leftAt = time.Now()
			spring()
		}
		onPlains(rig.Trap{When: rig.Before})(c, announce)
	}
}

// reports makes a stage say itself that it is draining.
func reports(stage int) func(c *cell) {
	return func(c *cell) { c.Chains[c.chain.Load()][stage].SetFaults(engine.Faults{Drain: true}) }
}

// listed makes the platform's list say that an endpoint's VM leaves.
func (c *cell) listed(endpoint string) {
	value, err := json.Marshal(map[string]string{"name": endpoint, "failure_domain": "bandung", "state": "leaving"})
	c.must(err)
	_, err = c.Client.CompareAndSwap(c.ctx, "/platform/vms/endpoint/"+endpoint, 0, value)
	c.must(err)
}

// listSays marks the steps where the platform's list is the only source: while
// the store that holds it is down nobody can know, so the time counts from its
// return.
const listSays = "platform's list says leaving"

var leavingSteps = []step{
	{"first stage reports draining", leavingAt(reports(0))},
	{"second stage reports draining", leavingAt(reports(1))},
	{listSays, leavingAt(func(c *cell) { c.listed(harness.EngineName(int(c.chain.Load()), 1)) })},
}

var plainLeavingSteps = []step{
	{"endpoint reports draining", plainLeavingAt(func(c *cell) { c.Plains[c.plain.Load()].SetFaults(plain.Faults{Draining: true}) })},
	{listSays, plainLeavingAt(func(c *cell) { c.listed(harness.PlainName(int(c.plain.Load()))) })},
}

var brokenPlain = named(plainFaults, "endpoint killed", "endpoint cut off", "caller asks a second node", "a second node serves the caller first")

const replaced = "a stand-in has one set of faults, and this one would lift its leaving"

var leavingPath = path{
	name:    "engine leaving",
	steps:   leavingSteps,
	body:    judgeEngineLeaving,
	noPairs: replaced,
	faults: joined(nodeFaults, named(peerFaults, "peer killed"), brokenEngine, []fault{
		both(one(nodeFaults, "document promoted"), one(peerFaults, "peer killed")),
	}),
	omitted: []omission{
		{ownerFaults, "of the path of an order by its owner"},
		{named(engineFaults, "first stage frozen", "second stage frozen", "second stage very slow"), replaced},
		{joined(allPaused, slowEngine, wrongEngine), replaced},
		{plainFaults, "a model call touches no plain endpoint"},
		{named(peerFaults, "peer drained", "second SIGTERM"), "of the drain path"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
}

var plainLeavingPath = path{
	name:    "plain endpoint leaving",
	steps:   plainLeavingSteps,
	body:    judgePlainLeaving,
	noPairs: replaced,
	faults:  joined(nodeFaults, named(peerFaults, "peer killed"), brokenPlain),
	omitted: []omission{
		{ownerFaults, "of the path of an order by its owner"},
		{named(plainFaults, "endpoint refuses", "endpoint drops the reply"), replaced},
		{joined(engineFaults, allPaused, slowEngine, wrongEngine), "an order touches no engine"},
		{named(peerFaults, "peer drained", "second SIGTERM"), "of the drain path"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
}

// A caller streams an answer along a chain of which one engine begins to leave,
// and a fault strikes right then. The stream ends whole. Callers who come after
// are all answered, and three seconds after the word came the chain gets
// nothing new from any node.
func TestEngineLeaving(t *testing.T) {
	leavingPath.each(t)
}

func judgeEngineLeaving(c *cell) {
	answer, err := c.askModel(0, tokens)
	c.sprang()
	c.wholeOrElsewhere(answer, err, tokens)
	c.nothingNew(&c.Chains[c.chain.Load()][0].Served, engineapi.PathChat, func(node, _ int) {
		answer, err := c.askModel(node, shortAnswer)
		c.wholeAnswer(answer, err, shortAnswer)
	})
}

// A caller places an order at an endpoint that begins to leave, and a fault
// strikes right then. The order is not cut off: it arrives once, as in the
// order path. Other orders are placed, and three seconds after the word came
// none of them at the endpoint that leaves.
func TestPlainEndpointLeaving(t *testing.T) {
	plainLeavingPath.each(t)
}

func judgePlainLeaving(c *cell) {
	said := c.ask(0)
	c.sprang()
	c.judgeUnderway(said)
	c.healStore() // the orders that follow have to be claimed
	defer c.eachOnce()
	c.nothingNew(&c.Plains[c.plain.Load()].Served, "/orders", c.orderElsewhere)
}

// judgeUnderway judges the order that was with the endpoint as it began to leave.
// A caller whose node or endpoint is gone, or whose claim met a store that was
// down, may be told less than done, but nothing arrives twice.
func (c *cell) judgeUnderway(said outcome.Outcome) {
	arrived := len(c.Orders())
	disturbed := c.struckBy("killed") || c.struckBy("cut off")
	switch {
	case arrived > 1:
		c.t.Errorf("the order arrived %d times", arrived)
	case said == outcome.Done && arrived != 1:
		c.t.Errorf("told done, %d arrived", arrived)
	case said == outcome.NotRun && arrived != 0:
		c.t.Errorf("told not run, %d arrived", arrived)
	case said != outcome.Done && !disturbed:
		c.t.Errorf("the order underway ended as %q", said)
	}
}

// eachOnce checks that no order arrived twice.
func (c *cell) eachOnce() {
	times := map[string]int{}
	for _, o := range c.Orders() {
		times[o.Key]++
	}
	for key, n := range times {
		if n > 1 {
			c.t.Errorf("order %s arrived %d times", key, n)
		}
	}
}

// orderElsewhere places another order and asks again while it is told that it
// was not run. Only an endpoint whose connections break can leave it in doubt.
func (c *cell) orderElsewhere(node, n int) {
	for range asksAfter {
		reply, err := c.Caller.Order(c.ctx, c.node(node), fmt.Sprintf("%s-%d", orderKey, n), orderBody)
		c.must(err)
		if err != nil || reply.Outcome == outcome.Done {
			return
		}
		if reply.Outcome == outcome.Unknown && c.struckBy("endpoint") {
			return
		}
		if reply.Outcome != outcome.NotRun {
			c.t.Errorf("an order was answered %q: %s", reply.Outcome, reply.Body)
			return
		}
		time.Sleep(comeBack)
	}
	c.t.Error("an order was never placed")
}

// nothingNew lets callers come by the nodes that can serve until some time
// after the bound, then looks when the endpoint last got a call.
func (c *cell) nothingNew(s *rig.Served, callPath string, callOnce func(node, n int)) {
	if c.plan.stepName() == listSays && c.struckBy("store") {
		c.healStore()
		c.leftAt = time.Now()
	}
	bound := c.leftAt.Add(leaveBound)
	able := c.able()
	for n := 0; time.Now().Before(bound.Add(watchOn)); n++ {
		callOnce(able[n%len(able)], n)
	}
	if last := s.LastCall(callPath); last.After(bound) {
		c.t.Errorf("the endpoint got a call %s after the word that it leaves", last.Sub(c.leftAt))
	}
	c.nodesSane()
}

// able are the nodes that serve after the fault.
func (c *cell) able() []int {
	able := []int{2}
	if !c.struckBy("peer") {
		able = append(able, 1)
	}
	if !c.struckBy("node killed") && !c.struckBy("node drained") {
		able = append(able, 0)
	}
	return able
}
