package matrix

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/proof/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
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
	// lookAgain is between two looks at what nothing pushes.
	lookAgain = 20 * time.Millisecond
)

// drainAt sends the first node SIGTERM at the first token of its stream, waits
// in the background for a moment of the drain and lets the fault strike then.
func drainAt(moment func(c *cell) bool) func(*cell, func()) {
	return func(c *cell, spring func()) {
		begin := func() {
			c.must(c.Nodes[0].Signal(syscall.SIGTERM))
			go func() {
				if c.announced() && moment(c) {
					spring()
				}
			}()
		}
		onChains(rig.Trap{Path: engineapi.PathChat, When: rig.AtEvent, Event: 1})(c, begin)
	}
}

func (c *cell) announced() bool {
	_, err := c.Nodes[0].WaitLine(func(line string) bool { return strings.Contains(line, `"@message":"draining"`) })
	c.must(err)
	close(c.draining)
	return err == nil
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
	omitted: []omission{
		{ownerFaults, "of the path of an order by its owner"},
		{named(nodeFaults, "node drained"), "the path itself"},
		{joined(allPaused, slowEngine), "the model call has it; a long stream would only take longer"},
		{plainFaults, "the stream underway touches no plain endpoint"},
		{operatorFaults, "to a node it is a document promoted"},
	},
}

// A caller streams a long answer through a node that is told to leave, and a
// fault strikes at a step of the drain. The stream ends whole. Callers who come
// while an entry answer from before the drain is still valid are served. The
// other nodes' answers leave the node out within seconds, and it ends with
// status 0. Only a node that is killed owes none of this: then what came is the
// answer's beginning and another node gives the whole.
func TestDrain(t *testing.T) {
	drainPath.each(t, func(c *cell, f fault) {
		held, err := c.Caller.Entry(c.ctx, c.node(2), "bandung")
		c.must(err)
		others := c.watchDrain(f, time.Duration(held.ValidForMillis)*time.Millisecond)
		answer, err := c.Caller.Chat(c.ctx, c.node(0), prompt, drainTokens, nil)
		c.sprang()
		c.wholeOrElsewhere(f, answer, err, drainTokens)
		<-others
		c.Heal()
		c.nodesSane(f)
		if !strings.Contains(f.name, "node killed") {
			c.must(c.Nodes[0].Wait(cellTimeout))
		}
	})
}

// watchDrain judges what others see of the drain while the stream is underway.
func (c *cell) watchDrain(f fault, valid time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-c.draining:
		case <-c.ctx.Done():
			return
		}
		begun := time.Now()
		served := make(chan struct{})
		go func() {
			defer close(served)
			c.callersServed(f, begun.Add(valid))
		}()
		if !c.leftOut() || time.Since(begun) > leaveOutBound {
			c.t.Errorf("the third node named the draining one for %s", time.Since(begun))
		}
		<-served
	}()
	return done
}

// callersServed plays the callers who hold an entry answer that is still valid.
// A node that is killed or frozen can't serve them, whatever it does.
func (c *cell) callersServed(f fault, until time.Time) {
	if strings.Contains(f.name, "node killed") || strings.Contains(f.name, "node frozen") {
		return
	}
	for time.Now().Before(until) {
		answer, err := c.Caller.Chat(c.ctx, c.node(0), prompt, shortAnswer, nil)
		c.wholeAnswer(answer, err, shortAnswer)
	}
}

// wholeOrElsewhere judges an answer from the first node. If that was killed, the
// caller asks another node.
func (c *cell) wholeOrElsewhere(f fault, a answered, err error, length int) {
	if strings.Contains(f.name, "node killed") {
		if err == nil && a.Whole {
			c.t.Error("a killed node completed an answer")
		}
		if !strings.HasPrefix(undisturbed(length), a.Text) {
			c.t.Errorf("the caller got %q, which is no beginning of the answer", a.Text)
		}
		a, err = c.Caller.Chat(c.ctx, c.node(2), prompt, length, nil)
	}
	c.wholeAnswer(a, err, length)
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
