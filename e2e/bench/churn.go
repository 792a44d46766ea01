package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// The rush that the changes come into.
const (
	churnNodes    = 6
	churnReplicas = 8
	// churnLoad is offered, as a part of what the replicas can answer: a site
	// that loses one of eight replicas still has room for it.
	churnLoad = 0.7
	// churnCalm passes before the first change, and gives the figures that the
	// others are compared with; churnWarm of it does not count.
	churnCalm = 5 * time.Second
	churnWarm = 2 * time.Second
	// churnPause is between two changes. The calls that count for one are those
	// sent from churnLead before it, so that they are underway when it comes (an
	// answer takes half a second), until churnLead before the next.
	churnPause  = 3 * time.Second
	churnLead   = 750 * time.Millisecond
	churnRounds = 3
	storeGone   = time.Second
	nodeFrozen  = 2 * time.Second
	// listLag passes before the platform's list loses a VM that is gone.
	listLag = 4 * time.Second
	// domainGone passes before the VMs of a lost failure domain are replaced.
	domainGone = 1500 * time.Millisecond
	// drainTimeout bounds the wait for drained nodes at the end: entry answers
	// that name them have to run out.
	drainTimeout = time.Minute
)

const churnBound = float64(churnReplicas*overloadSlots) / (overloadTokens * float64(overloadStep) / float64(time.Second))

// churn is a site under load whose VMs come and go.
type churn struct {
	site    *site
	service *plain.Server
	engines []*engineVM
	// started counts nodes and engines, for their names.
	started int
	drained []*node
	callers *churnCallers
	changes []change
	// unlisting are changes of the platform's list that are still to come.
	unlisting sync.WaitGroup
}

// change is one thing that happened to the site.
type change struct {
	name string
	at   time.Time
}

// churnRush has nodes killed and drained, engines die, the store go away and
// the document change, one after the other, in the middle of a rush. It fails
// if an answer was wrong, an order was placed twice or told as placed and was
// not, or a drained node did not end well.
func churnRush(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	c := &churn{site: t}
	if err := c.start(ctx); err != nil {
		return err
	}
	if err := c.callers.begin(ctx, c.engines[0].address); err != nil {
		return err
	}
	happened := c.happen(ctx)
	c.callers.end()
	if happened != nil {
		return happened
	}
	if err := c.awaitDrained(ctx); err != nil {
		return err
	}
	c.unlisting.Wait()
	s.add(c.callsTable())
	s.add(c.ordersTable())
	return c.verdict()
}

func (c *churn) start(ctx context.Context) error {
	for range churnReplicas {
		if err := c.addEngine(); err != nil {
			return err
		}
	}
	c.service = plain.New("ledger", orderSlots)
	address, err := c.site.serve(c.service, &c.site.endpointTraffic)
	if err != nil {
		return err
	}
	c.site.addPlain("stock-ledger", place{"ledger", address, domains[0]})
	c.site.doc.Policy.ConcurrentPerReplica = overloadSlots
	c.layOut()
	if err := c.site.start(ctx, churnNodes); err != nil {
		return err
	}
	c.started += churnNodes
	c.site.store.SetFaults(storefake.Faults{SlowMillis: storeDelay})
	c.callers = newChurnCallers()
	c.callers.serve(c.site.nodes)
	return nil
}

func (c *churn) addEngine() error {
	c.started++
	e, err := c.site.engine(domains[c.started%len(domains)], engine.Config{
		Name:  fmt.Sprintf("engine-%d", c.started),
		Model: "pastry-llm",
		Last:  layers - 1,
		Slots: overloadSlots,
		Queue: engineQueue,
		Step:  overloadStep,
	})
	c.engines = append(c.engines, e)
	return err
}

// layOut enters the engines that there are now into the document, in place of
// those that were there.
func (c *churn) layOut() {
	services, endpoints := c.site.doc.Services[:0], c.site.doc.Endpoints[:0]
	for _, s := range c.site.doc.Services {
		if s.Model == nil {
			services = append(services, s)
		}
	}
	for _, e := range c.site.doc.Endpoints {
		if e.Name == "ledger" {
			endpoints = append(endpoints, e)
		}
	}
	c.site.doc.Services, c.site.doc.Endpoints = services, endpoints
	var chains [][]place
	for _, e := range c.engines {
		chains = append(chains, []place{e.place})
	}
	c.site.addModel("pastry-llm", chains)
}

// happen lets every kind of change come, round after round.
func (c *churn) happen(ctx context.Context) error {
	time.Sleep(churnCalm)
	for range churnRounds {
		for _, each := range []struct {
			name string
			do   func(context.Context) error
		}{
			{"node killed, another starts", c.killNode},
			{"engine dies, another in its place", c.replaceEngine},
			{"node drained, another starts", c.drainNode},
			{"node frozen for two seconds", c.freezeNode},
			{"document changes", c.changeDocument},
			{"failure domain lost, replaced after 1.5 s", c.loseDomain},
			{"store away for a second", c.loseStore},
		} {
			c.changes = append(c.changes, change{each.name, time.Now()})
			if err := each.do(ctx); err != nil {
				return Error.New("%s: %v", each.name, err)
			}
			time.Sleep(time.Until(c.changes[len(c.changes)-1].at.Add(churnPause)))
		}
	}
	return ctx.Err()
}

// nextNode takes the node that has run longest out of the site.
func (c *churn) nextNode() *node {
	oldest := c.site.nodes[0]
	c.site.nodes = c.site.nodes[1:]
	c.unlist(oldest)
	return oldest
}

// unlist has the platform's list lose a node's VM, late as it is. Without it the
// list would hold more VMs that are gone than live ones, which no platform's does,
// and nodes would share the store's writes with them.
func (c *churn) unlist(n *node) {
	c.unlisting.Go(func() {
		<-n.ended
		time.Sleep(listLag)
		if err := c.site.unlistVM(context.Background(), "entry", n.name); err != nil {
			fmt.Fprintf(c.site.suite.cfg.Print, "%s stays on the platform's list: %v\n", n.name, err)
		}
	})
}

func (c *churn) startNode(ctx context.Context) error {
	c.started++
	_, err := c.site.addNode(ctx, c.started)
	c.callers.serve(c.site.nodes)
	return err
}

func (c *churn) killNode(ctx context.Context) error {
	c.nextNode().kill()
	return c.startNode(ctx)
}

func (c *churn) drainNode(ctx context.Context) error {
	n := c.nextNode()
	c.drained = append(c.drained, n)
	if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
		return Error.Wrap(err)
	}
	return c.startNode(ctx)
}

func (c *churn) replaceEngine(ctx context.Context) error {
	c.engines[0].kill()
	c.engines = c.engines[1:]
	return c.fillUp(ctx)
}

// fillUp starts engines and nodes in place of those that are missing.
func (c *churn) fillUp(ctx context.Context) error {
	for len(c.engines) < churnReplicas {
		if err := c.addEngine(); err != nil {
			return err
		}
	}
	for len(c.site.nodes) < churnNodes {
		if err := c.startNode(ctx); err != nil {
			return err
		}
	}
	c.layOut()
	return c.site.promoteDocument(ctx)
}

// loseDomain kills all VMs of the failure domain of the oldest node at once.
func (c *churn) loseDomain(ctx context.Context) error {
	lost := c.site.nodes[0].domain
	c.site.nodes = slices.DeleteFunc(c.site.nodes, func(n *node) bool {
		if n.domain == lost {
			n.kill()
			c.unlist(n)
		}
		return n.domain == lost
	})
	c.engines = slices.DeleteFunc(c.engines, func(e *engineVM) bool {
		if e.domain == lost {
			e.kill()
		}
		return e.domain == lost
	})
	c.callers.serve(c.site.nodes)
	time.Sleep(domainGone)
	return c.fillUp(ctx)
}

// freezeNode stops a node's process for a while, as a paused VM is; its
// connections stay open.
func (c *churn) freezeNode(context.Context) error {
	process := c.site.nodes[0].command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	time.Sleep(nodeFrozen)
	return Error.Wrap(process.Signal(syscall.SIGCONT))
}

func (c *churn) loseStore(context.Context) error {
	c.site.store.SetFaults(storefake.Faults{Outage: true})
	time.Sleep(storeGone)
	c.site.store.SetFaults(storefake.Faults{SlowMillis: storeDelay})
	return nil
}

func (c *churn) changeDocument(ctx context.Context) error {
	return c.site.promote(ctx, 1+float64(len(c.changes))/100)
}

// awaitDrained waits until the drained nodes have ended by themselves.
func (c *churn) awaitDrained(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for _, n := range c.drained {
		select {
		case <-n.ended:
		case <-ctx.Done():
			n.kill()
			return Error.New("%s was drained and did not end", n.name)
		}
		n.relay.close()
		if code := n.command.ProcessState.ExitCode(); code != 0 {
			return Error.New("%s was drained and ended with status %d", n.name, code)
		}
	}
	return nil
}

// callsTable says what became of the calls that each kind of change came upon or
// that were sent after it, and of those before the first.
func (c *churn) callsTable() table {
	result := table{
		title: "A rush with churn",
		columns: []string{"change", "times", "calls", "whole", "asked again", "refused", "in vain", "wrong",
			"first token p50", "p95", "max", "longest gap"},
		note: fmt.Sprintf("The platform's list loses a VM %v after it is gone. Calls sent from %v before a change to %v before the next one, %v later. %d nodes, %d replicas of %d slots, %.1f of what they can answer (%.0f calls a second of %d tokens). A caller whose connection breaks or is refused, or who gets no token for %v, asks at another address of its entry answer after %v; its first token is that of the whole answer, counted from its first try. Every answer is compared with the engine's own to the same prompt. Callers wait %v.",
			listLag, churnLead, churnLead, churnPause, churnNodes, churnReplicas, overloadSlots, churnLoad, churnLoad*churnBound, overloadTokens, churnSilence, tryAgain, patience),
	}
	for _, name := range c.kinds() {
		c.callsRow(&result, name)
	}
	return result
}

const calm = "none (before the first)"

func (c *churn) kinds() []string {
	kinds := []string{calm}
	seen := map[string]bool{}
	for _, each := range c.changes {
		if !seen[each.name] {
			seen[each.name] = true
			kinds = append(kinds, each.name)
		}
	}
	return kinds
}

func (c *churn) callsRow(result *table, name string) {
	sum := newCallSum()
	times := 0
	for _, w := range c.windows(name) {
		times++
		c.callers.sum(w.from, w.to, sum)
	}
	result.row(name, times, sum.calls, sum.whole, sum.again, sum.refusals(), sum.vain, sum.wrong,
		sum.first.at(50), sum.first.at(95), sum.first.max(), sum.gap)
}

type window struct{ from, to time.Time }

func (c *churn) windows(name string) []window {
	if name == calm {
		first := c.changes[0].at
		return []window{{first.Add(churnWarm - churnCalm), first.Add(-churnLead)}}
	}
	var all []window
	for _, each := range c.changes {
		if each.name == name {
			from := each.at.Add(-churnLead)
			all = append(all, window{from, from.Add(churnPause)})
		}
	}
	return all
}
