package faultmatrix

import (
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// onChains arms a trap on the first engine of every chain; the chain that first
// springs it is the one that serves the stream.
func onChains(trap rig.Trap) func(*cell, func()) {
	return func(c *cell, spring func()) {
		var first sync.Once
		for i := range c.Chains {
			t := trap
			t.Spring = func() {
				first.Do(func() {
					c.chain.Store(int32(i))
					spring()
				})
			}
			c.Chains[i][0].Set(&t)
		}
	}
}

var modelSteps = []step{
	{"holding asked", onChains(rig.Trap{Path: engineapi.PathHolding})},
	{"stream opened", onChains(rig.Trap{Path: engineapi.PathChat})},
	{"first token", onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtToken, Token: 1})},
	{"token in the middle", onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtToken, Token: tokens / 2})},
	{"last token", onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtToken, Token: tokens})},
}

const modelPathName = "model call"

var modelPath = path{
	name:   modelPathName,
	body:   judgeModelCall,
	kinds:  []kind{nodeKind, documentKind, storeKind, brokenEngine, joined(stuckEngine, allPaused, slowEngine), wrongEngine},
	steps:  modelSteps,
	faults: joined(nodeFaults, engineFaults, allPaused, slowEngine, wrongEngine, pairs, enginePairs),
	omitted: []omission{
		{ownerFaults, "a call of a model claims nothing"},
		{plainFaults, "a model call touches no plain endpoint"},
		{peerFaults, "no other node takes part in a call"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
}

// A caller streams an answer through the first node while a fault strikes at a
// step. The caller gets the whole answer, byte for byte the undisturbed one. If
// the node itself is killed, what came before is the answer's beginning, it is
// not marked as whole, and asking another node gives the whole answer. If every
// chain stands still before the first token, the caller may be told not-run at
// once; it comes back as told, and gets the whole answer.
func TestModelCall(t *testing.T) {
	modelPath.each(t)
}

func judgeModelCall(c *cell) {
	answer, err := c.chat(0, tokens)
	c.sprang()
	if c.struckBy("every chain frozen") {
		answer, err = c.comeBack(answer, err)
	}
	c.wholeOrElsewhere(answer, err, tokens)
	c.Heal()
	c.nodesSane()
}

// comeBack asks again, as told, for an answer of which nothing was run; another
// node if the first one is leaving.
func (c *cell) comeBack(answer answered, err error) (answered, error) {
	node := 0
	if c.wasDrained(0) {
		node = 2
	}
	for range asksAfter {
		if err != nil || answer.Outcome != outcome.NotRun || answer.Tokens > 0 {
			break
		}
		time.Sleep(comeBack)
		answer, err = c.chat(node, tokens)
	}
	return answer, err
}
