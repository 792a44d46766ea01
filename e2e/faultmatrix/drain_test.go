package faultmatrix

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// drainTokens make a stream that outlasts the time in which a leaving node
	// serves on.
	drainTokens = 150
	// shortAnswer is the length of the answers to callers who come meanwhile.
	shortAnswer = 4
	// leaveOutBound is how long the other nodes may go on naming a node that
	// drains.
	leaveOutBound = 3 * time.Second
	// giveUp is how long a caller waits who gives up on a frozen node: less than
	// the node stays frozen.
	giveUp = pause / 3
	// patientCallers wait for a frozen node.
	patientCallers = 8
	// lookAgain is between two looks at what nothing pushes.
	lookAgain = 20 * time.Millisecond
)

// drainAt sends the first node SIGTERM at the first token of its stream, waits
// in the background for a moment of the drain and lets the fault strike then.
func drainAt(moment func(c *cell) bool) func(*cell, func()) {
	return func(c *cell, spring func()) {
		begin := func() {
			c.drainOnce.Do(c.beginDrain)
			go func() {
				if c.announced() && moment(c) {
					spring()
				}
			}()
		}
		onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtToken, Token: 1})(c, begin)
	}
}

func (c *cell) beginDrain() {
	c.must(c.Nodes[0].Signal(syscall.SIGTERM))
	go func() {
		_, err := c.Nodes[0].WaitLine(func(line string) bool { return strings.Contains(line, `"@message":"draining"`) })
		c.must(err)
		close(c.draining)
	}()
}

// announced waits until the first node has said that it drains.
func (c *cell) announced() bool {
	select {
	case <-c.draining:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func at(*cell) bool { return true }

// leftOut waits until the third node's entry answers don't name the first one.
func (c *cell) leftOut() bool {
	return c.until(func() bool {
		answer, err := c.Caller.Entry(c.ctx, c.node(2), "bandung")
		if err != nil {
			return false
		}
		for _, a := range answer.Addresses {
			if a.Address == c.node(0) {
				return false
			}
		}
		return true
	})
}

// listenerClosed waits until the first node takes no new connection.
func (c *cell) listenerClosed() bool {
	return c.until(func() bool {
		conn, err := net.Dial("tcp", c.node(0))
		if err != nil {
			return true
		}
		conn.Close()
		return false
	})
}

// until looks again and again; false if the cell's time is over first.
func (c *cell) until(seen func() bool) bool {
	for !seen() {
		select {
		case <-c.ctx.Done():
			return false
		case <-time.After(lookAgain):
		}
	}
	return true
}

var drainSteps = []step{
	{"drain announced", drainAt(at)},
	{"others leave it out", drainAt((*cell).leftOut)},
	{"listener closed, stream underway", drainAt((*cell).listenerClosed)},
}

var drainFaults = joined(
	without(nodeFaults, "node drained"),
	peerFaults,
	engineFaults,
	wrongEngine,
	[]fault{
		both(one(nodeFaults, "store down"), one(nodeFaults, "node killed")),
		both(one(nodeFaults, "store reply lost"), one(nodeFaults, "node frozen for a while")),
		both(one(peerFaults, "peer killed"), one(nodeFaults, "store down")),
		both(one(peerFaults, "peer drained"), one(nodeFaults, "document promoted")),
		both(one(engineFaults, "second stage killed"), one(peerFaults, "second SIGTERM")),
	},
)

var drainPath = path{
	name:   "drain",
	steps:  drainSteps,
	faults: drainFaults,
	body:   judgeDrain,
	kinds: []kind{
		named(nodeFaults, "node killed", "node frozen for a while"),
		peerFaults, documentKind, storeKind, brokenEngine, stuckEngine, wrongEngine,
	},
	omitted: []omission{
		{ownerFaults, "of the path of an order by its owner"},
		{named(nodeFaults, "node drained"), "the path itself"},
		{joined(allPaused, slowEngine), "the model call has it; a long stream would only take longer"},
		{plainFaults, "the stream underway touches no plain endpoint"},
		{joined(operatorFaults, commandFaults), "to a node it is a document promoted"},
	},
}

// A caller streams a long answer through a node that is told to leave, and a
// fault strikes at a step of the drain. The stream ends whole. Callers who come
// while an entry answer from before the drain is still valid are served. The
// other nodes' answers leave the node out within seconds, and it ends with
// status 0. Only a node that is killed owes none of this: then what came is the
// answer's beginning and another node gives the whole.
func TestDrain(t *testing.T) {
	drainPath.each(t)
}

func judgeDrain(c *cell) {
	held, err := c.Caller.Entry(c.ctx, c.node(2), "bandung")
	c.must(err)
	others := c.watchDrain(time.Duration(held.ValidForMillis) * time.Millisecond)
	answer, err := c.askModel(0, drainTokens)
	c.sprang()
	c.wholeOrElsewhere(answer, err, drainTokens)
	<-others
	c.Heal()
	c.nodesSane()
	if !c.wasKilled(0) {
		c.must(c.Nodes[0].Wait(cellTimeout))
	}
	c.eachOnce()
}

// watchDrain judges what others see of the drain while the stream is underway.
func (c *cell) watchDrain(valid time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !c.announced() {
			return
		}
		begun := time.Now()
		var callers sync.WaitGroup
		callers.Go(func() { c.callersServed(begun.Add(valid)) })
		callers.Go(func() { c.callersWhileFrozen(begun.Add(valid)) })
		if !c.leftOut() || time.Since(begun) > leaveOutBound {
			c.t.Errorf("the third node named the draining one for %s", time.Since(begun))
		}
		callers.Wait()
	}()
	return done
}

// callersServed plays the callers who hold an entry answer that is still valid.
// If the node is frozen they are served once it goes on. A node that is killed
// can't serve them, whatever it does.
func (c *cell) callersServed(until time.Time) {
	for time.Now().Before(until) {
		answer, err := c.askModel(0, shortAnswer)
		if c.wasKilled(0) {
			return
		}
		c.wholeAnswer(answer, err, shortAnswer)
	}
}

// callersWhileFrozen plays the callers who come while the node is frozen. Those
// who hold a valid entry answer and wait are served once the node goes on.
func (c *cell) callersWhileFrozen(until time.Time) {
	frozen := slices.IndexFunc(c.strikes, func(k *strike) bool { return strings.Contains(k.fault.name, "node frozen") })
	if frozen < 0 {
		return
	}
	select {
	case <-c.strikes[frozen].done:
	case <-c.ctx.Done():
		return
	}
	var waiting sync.WaitGroup
	for range patientCallers {
		if time.Now().After(until) {
			break
		}
		waiting.Go(func() {
			answer, err := c.askModel(0, shortAnswer)
			if !c.wasKilled(0) {
				c.wholeAnswer(answer, err, shortAnswer)
			}
		})
	}
	c.impatientOrder()
	waiting.Wait()
}

// impatientOrder plays a caller who gives up on an order at the frozen node, asks
// for another node, which must not be the frozen one for long, and places the
// order there under the same key.
func (c *cell) impatientOrder() {
	ctx, cancel := context.WithTimeout(c.ctx, giveUp)
	_, _ = c.Caller.Order(ctx, c.node(0), orderKey, orderBody) // the node may have it all the same
	cancel()
	c.leftOut()
	for range asksAfter {
		if said := c.ask(2); said == outcome.Done || said == outcome.Unknown {
			return
		}
		c.healStore()
		time.Sleep(comeBack)
	}
	c.t.Error("the order was never placed")
}

// wholeOrElsewhere judges an answer from the first node. If that was killed, the
// caller asks another node.
func (c *cell) wholeOrElsewhere(a answered, err error, length int) {
	at := 0
	for _, next := range []int{2, 1} {
		if !c.wasKilled(at) {
			break
		}
		if err == nil && a.Whole {
			c.t.Error("a killed node completed an answer")
		}
		if !strings.HasPrefix(undisturbed(length), a.Text) {
			c.t.Errorf("the caller got %q, which is no beginning of the answer", a.Text)
		}
		at = next
		a, err = c.chat(at, length)
	}
	c.wholeAnswer(a, err, length)
}

// chat asks a node, which is the one that faults then strike.
func (c *cell) chat(node, length int) (answered, error) {
	c.serving.Store(int32(node))
	return c.askModel(node, length)
}

func (c *cell) wholeAnswer(a answered, err error, length int) {
	switch {
	case err != nil:
		c.t.Error(err)
	case !a.Whole || a.Outcome != outcome.Done:
		c.t.Errorf("status %d, whole %t, outcome %q after %d tokens: %s", a.Status, a.Whole, a.Outcome, a.Tokens, a.Error)
	case a.Text != undisturbed(length):
		c.t.Errorf("the caller got %q, want %q", a.Text, undisturbed(length))
	}
}
