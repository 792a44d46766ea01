package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	versionSteps    = 50
	versionStepTime = 400 * time.Millisecond
	// versionCallers send mostly orders and reads, so that a node gets some in the time in which others
	// learn of a version.
	versionCallers = 48
	// versionsApart is the least time between two versions: each is in force everywhere before the next.
	versionsApart = 2500 * time.Millisecond
	// rewind is how long after a version has taken effect for a node's callers a request may still be
	// sent that an older one handles.
	rewind = 250 * time.Millisecond
	// versionGrace is short, so that many requests are under way when a node ends.
	versionGrace = 5 * time.Second
	// A node that was told to stop ends between stopsAfter and stopsBy later, and starts again.
	stopsAfter, stopsBy = 4 * time.Second, 8 * time.Second
)

// routeMove is a version that sends orders and reads to the other plain services.
type routeMove struct {
	from, at time.Time // the operator has sent it, and the store has confirmed it
	orders   string    // the service of orders
}

// versionRun is a run in which versions move routes and nodes are told to stop while others are cut off
// from the replicas.
type versionRun struct {
	*reachRun
	version site.Version
	moves   []routeMove
}

// Versions move orders and reads between services and change their timeouts, nodes lose their ways to
// the replicas, and are told to stop, killed and frozen, one after the other and at once, while replicas
// work on requests for longer and shorter. Callers keep addresses. No request at a node is handled as
// only an older version allows once a newer one has taken effect for its callers; no order that ran at a
// node ends without an answer, unless the node was killed or froze; and the promises of TestSoak hold.
func TestVersionsAtNodesThatAreCutOffOrStop(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &versionRun{reachRun: newReachRun(t, bin, seed, versionGrace)}
			for i := range 2 {
				if err := r.site.Add(replica.Config{ID: fmt.Sprint("i-other-", i), Service: site.OtherService, Domain: "bandung"}); err != nil {
					t.Fatal(err)
				}
			}
			r.version = site.Version{
				Keys: []string{r.key}, IdleTimeout: 15 * time.Second, StreamTimeout: 20 * time.Second, PlainTimeout: 1500 * time.Millisecond,
			}
			r.crowd.number, r.crowd.kinds = versionCallers, []string{order, read, order, read, order, read, order, stream}
			r.move()
			r.play(versionSteps, versionStepTime, r.step)
			r.judgeMoves()
			r.judgeAnswers()
		})
	}
}

func (r *versionRun) step() {
	r.revive()
	r.healDue()
	v := r.vms[r.draw.IntN(len(r.vms))]
	switch r.draw.IntN(16) {
	case 0, 1, 2, 14, 15:
		r.cutOff(domainNames[r.draw.IntN(len(domainNames))])
	case 3, 4, 5, 6, 7:
		if time.Since(r.moves[len(r.moves)-1].at) > versionsApart {
			r.move()
		}
	case 8, 9:
		r.tell("%s is told to stop", v.name)
		r.signal(v, syscall.SIGTERM)
		now := time.Now()
		r.faults[v.name] = append(r.faults[v.name], period{from: now.Add(stopsAfter), to: now.Add(stopsBy)})
	case 10:
		r.restart(v)
	case 11:
		r.faults[v.name] = append(r.faults[v.name], lasting(r.freeze(v)))
	case 12, 13:
		r.work()
	}
}

// move writes a version that swaps the services of orders and reads and has other timeouts.
func (r *versionRun) move() {
	r.version.Swapped = !r.version.Swapped
	r.version.PlainTimeout = time.Duration(1000+r.draw.IntN(2000)) * time.Millisecond
	from := time.Now()
	r.site.ConfigureVersion(r.version)
	orders := site.PlainService
	if r.version.Swapped {
		orders = site.OtherService
	}
	r.moves = append(r.moves, routeMove{from, time.Now(), orders})
	r.tell("a version sends orders to %s, with timeouts of %v", orders, r.version.PlainTimeout)
}

// work makes one replica of each plain service work on requests for another time.
func (r *versionRun) work() {
	lasts := []time.Duration{0, 100 * time.Millisecond, 2400 * time.Millisecond}[r.draw.IntN(3)]
	r.tell("one replica of each plain service works for %v", lasts)
	for _, id := range []string{"i-plain-0", "i-other-0"} {
		r.site.Replica(id).SetFault(replica.Fault{Work: lasts})
	}
}

// undisturbed reports whether a node had no fault of its own between two moments.
func (r *versionRun) undisturbed(node string, from, to time.Time) bool {
	return !slices.ContainsFunc(r.faults[node], func(p period) bool { return p.from.Before(to) && p.to.After(from) })
}

// ranBy is a request at a node, and the service that ran it first.
type ranBy struct {
	asked
	service string
	at      time.Time
}

// plainRuns are the orders and reads that ran, by node, in the order of their sending.
func (r *versionRun) plainRuns() map[string][]ranBy {
	first := map[string]replica.Run{}
	for _, run := range r.site.Fleet.Runs("") {
		if _, ran := first[run.Request]; !ran {
			first[run.Request] = run
		}
	}
	byNode := map[string][]ranBy{}
	for _, a := range r.crowd.all() {
		if run, ran := first[a.id]; ran && a.kind != stream {
			byNode[a.node] = append(byNode[a.node], ranBy{a, r.site.Replica(run.Replica).Service, run.At})
		}
	}
	for _, list := range byNode {
		slices.SortFunc(list, func(x, y ranBy) int { return x.sent.Compare(y.sent) })
	}
	return byNode
}

// serviceIn is the service that a version sends a kind of request to.
func (m routeMove) serviceIn(kind string) string {
	if (kind == order) == (m.orders == site.PlainService) {
		return site.PlainService
	}
	return site.OtherService
}

// judgeMoves looks for requests that a node handles by the version before, after one of its requests was
// handled by the new one.
func (r *versionRun) judgeMoves() {
	seen := 0
	for node, list := range r.plainRuns() {
		for i, m := range r.moves[1:] {
			until := time.Now()
			if i+2 < len(r.moves) {
				until = r.moves[i+2].from
			}
			effect := ranBy{}
			for _, each := range list {
				if each.sent.Before(m.at) || each.at.After(until) {
					continue // the next version may have handled it
				}
				switch isNew := each.service == m.serviceIn(each.kind); {
				case isNew && (effect.at.IsZero() || each.at.Before(effect.at)):
					effect = each
					seen++
				case !isNew && !effect.at.IsZero() && each.sent.Sub(effect.at) > rewind && r.undisturbed(node, effect.at, each.sent):
					r.t.Errorf("seed %d, %s: request %s (%s) was run by %s, sent %v after %s had run %s as a newer version says",
						r.seed, node, each.id, each.kind, each.service, each.sent.Sub(effect.at).Round(time.Millisecond), effect.service, effect.id)
					r.tellNode(node)
				}
			}
		}
	}
	if seen == 0 {
		r.t.Errorf("seed %d: no version took effect", r.seed)
	}
}

// tellNode logs what happened, and when versions came into force at a node.
func (r *versionRun) tellNode(node string) {
	r.t.Logf("what happened:\n%s", strings.Join(r.story, "\n"))
	for _, v := range r.vms {
		if v.name != node {
			continue
		}
		for _, line := range v.now().Lines() {
			if strings.Contains(line, "configuration in force") || strings.Contains(line, `"@message":"started"`) || strings.Contains(line, "newer configuration") {
				r.t.Log(line)
			}
		}
	}
}

// judgeAnswers looks for orders and reads that ran and whose connections ended without an answer.
func (r *versionRun) judgeAnswers() {
	answered := 0
	for node, list := range r.plainRuns() {
		for _, each := range list {
			if each.status != 0 {
				answered++
				continue
			}
			if r.undisturbed(node, each.sent, each.sent.Add(callerPatience)) || r.onlyStopped(node, each) {
				r.t.Errorf("seed %d, %s: request %s (%s), sent at %.2f s, ran and got no answer\n%s",
					r.seed, node, each.id, each.kind, each.sent.Sub(r.began).Seconds(), strings.Join(r.linesAbout(each.id), "\n"))
			}
		}
	}
	r.t.Logf("seed %d: %d orders and reads were answered, %d versions", r.seed, answered, len(r.moves))
}

// onlyStopped reports whether the faults of a node around a request are stops alone.
func (r *versionRun) onlyStopped(node string, a ranBy) bool {
	for _, p := range r.faults[node] {
		isStop := p.to.Sub(p.from) == stopsBy-stopsAfter
		if !isStop && p.from.Before(a.sent.Add(callerPatience)) && p.to.Add(callerPatience).After(a.sent) {
			return false
		}
	}
	return true
}
