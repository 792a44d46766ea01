package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	// Two failure domains have three nodes, the others one. The nodes of a domain share what
	// they read, and so the ways to replicas.
	reachSteps    = 60
	reachStepTime = 400 * time.Millisecond
	// judgedAfter is how long after the beginning of a cut its nodes are judged.
	judgedAfter = 3 * time.Second
	// Of the first tries at cut-off nodes, reachRatio times as many as at the others must be
	// served, unless at most reachSlack and one in reachSlackPart of all first tries fail there.
	reachRatio     = 2.0 / 3
	reachSlack     = 10
	reachSlackPart = 50
	// refusedWithin bounds the time after which callers whom nobody can serve are refused.
	refusedWithin = time.Second
)

// cut is the time in which the nodes of a failure domain reach no replica.
type cut struct {
	period
	domain string
}

// reachRun is a run in which nodes lose their ways to replicas.
type reachRun struct {
	*run
	places []vmPlace
	views  map[string]*site.View // by domain
	healAt map[string]time.Time  // the ends of the faults of views
	cuts   []cut
	faults map[string][]period // of the nodes themselves
}

// Nodes, also all nodes of a failure domain or several, lose their ways to all or some replicas:
// connections are reset, refused, or silent in one direction or both. Meanwhile nodes are killed,
// told to stop and stand still, and replicas are silent for a second. Callers keep addresses of
// nodes for longer than the answers name them. Callers of nodes that are cut off are served two
// thirds as often as those of the others, or refused at once, and the promises of TestSoak hold.
func TestNodesCutOffFromReplicas(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newReachRun(t, bin, seed, usualGrace)
			r.play(reachSteps, reachStepTime, r.step)
			r.judgeReach()
		})
	}
}

func newReachRun(t *testing.T, bin string, seed uint64, grace time.Duration) *reachRun {
	r := &reachRun{views: map[string]*site.View{}, healAt: map[string]time.Time{}, faults: map[string][]period{}}
	for i, domain := range domainNames {
		nodes := 1
		if i < 2 {
			nodes = usualNodes
		}
		for range nodes {
			n := len(r.places)
			r.places = append(r.places, vmPlace{name: fmt.Sprint("front-", n), domain: domain, ip: vmIP(n)})
		}
	}
	r.run = newRunAt(t, bin, seed, grace, r.places, func(s *site.Site, place vmPlace) string {
		if r.views[place.domain] == nil {
			r.views[place.domain] = s.NewView()
			t.Cleanup(r.views[place.domain].Close)
		}
		return r.views[place.domain].Address()
	})
	r.crowd.keepsAddresses = true
	r.healMore = func() {
		for _, view := range r.views {
			view.Heal()
		}
	}
	return r
}

func (r *reachRun) step() {
	r.revive()
	r.healDue()
	v := r.vms[r.draw.IntN(len(r.vms))]
	switch r.draw.IntN(16) {
	case 0, 1, 2, 3:
		r.cutOff(domainNames[r.draw.IntN(len(domainNames))])
	case 4:
		r.cutOffPart(domainNames[r.draw.IntN(len(domainNames))])
	case 5:
		for _, domain := range domainNames[r.draw.IntN(len(domainNames)):] {
			r.cutOff(domain)
		}
	case 6:
		r.restart(v)
	case 7:
		r.faults[v.name] = append(r.faults[v.name], lasting(r.freeze(v)))
	case 8:
		r.silence()
	}
}

// restart kills a node and starts it again.
func (r *reachRun) restart(v *vm) {
	r.tell("%s is killed and starts again", v.name)
	killedAt := time.Now()
	v.kill()
	v.start(r.t)
	r.faults[v.name] = append(r.faults[v.name], period{from: killedAt, to: time.Now()})
}

// healDue ends the faults of views whose time is over.
func (r *reachRun) healDue() {
	for domain, at := range r.healAt {
		if time.Now().After(at) {
			r.tell("the ways from %s to replicas are well", domain)
			r.views[domain].Heal()
			delete(r.healAt, domain)
		}
	}
}

// cutOff lets the ways from a domain to all replicas fail for some seconds.
func (r *reachRun) cutOff(domain string) {
	if _, faulty := r.healAt[domain]; faulty {
		return
	}
	fault := r.drawFault()
	lasts := time.Duration(4000+r.draw.IntN(4000)) * time.Millisecond
	r.tell("%s is cut off from all replicas, %s, for %v", domain, fault.Name, lasts)
	r.views[domain].Cut(fault.Apply)
	r.healAt[domain] = time.Now().Add(lasts)
	r.cuts = append(r.cuts, cut{lasting(lasts), domain})
}

// cutOffPart lets the ways from a domain to one service, or to half of the replicas, fail.
func (r *reachRun) cutOffPart(domain string) {
	if _, faulty := r.healAt[domain]; faulty {
		return
	}
	fault := r.drawFault()
	parts := []string{"i-plain", "i-model", "0", "1"}
	part := parts[r.draw.IntN(len(parts))]
	lasts := time.Duration(2000+r.draw.IntN(3000)) * time.Millisecond
	r.tell("%s is cut off from replicas with %q in their ids, %s, for %v", domain, part, fault.Name, lasts)
	r.views[domain].CutSome(fault.Apply, func(id string) bool { return strings.Contains(id, part) })
	r.healAt[domain] = time.Now().Add(lasts)
}

func (r *reachRun) drawFault() link.Fault { return link.Faults[r.draw.IntN(len(link.Faults))] }

// silence makes a replica silent for a second, for all nodes.
func (r *reachRun) silence() {
	ids := append(r.models(), "i-plain-0", "i-plain-1")
	id := ids[r.draw.IntN(len(ids))]
	r.tell("%s is silent for a second", id)
	silent := r.site.Replica(id)
	silent.SetFault(replica.Fault{Hang: true})
	time.AfterFunc(time.Second, func() { silent.SetFault(replica.Fault{}) })
}

// inTouch reports whether a node had no fault of its own for inTouchAfter before a moment.
func (r *reachRun) inTouch(node string, at time.Time) bool {
	return !slices.ContainsFunc(r.faults[node], func(p period) bool { return p.excuses(at) })
}

// tries counts first tries and those that failed.
type tries struct{ all, failed int }

func (t tries) servedShare() float64 { return float64(t.all-t.failed) / float64(max(1, t.all)) }

// judgeReach compares what callers of cut-off nodes got with what the others did, cut by cut.
func (r *reachRun) judgeReach() {
	domainOf := map[string]string{}
	for _, place := range r.places {
		domainOf[place.name] = place.domain
	}
	var sum tries
	for _, c := range r.cuts {
		var there, others tries
		for _, a := range r.crowd.all() {
			if !a.sent.After(c.from.Add(judgedAfter)) || a.sent.After(c.to) || a.sent.After(r.healedAt) || !r.inTouch(a.node, a.sent) || r.cutOffAt(domainOf[a.node], a.sent) && domainOf[a.node] != c.domain {
				continue
			}
			counted := &others
			if domainOf[a.node] == c.domain {
				counted = &there
			}
			counted.all++
			if a.status != http.StatusOK || !a.whole {
				counted.failed++
			}
			if took := a.answered.Sub(a.sent); a.status == http.StatusServiceUnavailable && counted == &there && took > refusedWithin {
				r.t.Errorf("seed %d: request %s was refused by %s, which is cut off, after %v\n%s", r.seed, a.id, a.node, took.Round(time.Millisecond), strings.Join(r.linesAbout(a.id), "\n"))
			}
		}
		sum.all, sum.failed = sum.all+there.all, sum.failed+there.failed
		allowed := reachSlack + (there.all+others.all)/reachSlackPart
		if others.all > 0 && there.servedShare() < reachRatio*others.servedShare() && there.failed > allowed {
			r.t.Errorf("seed %d: %s, cut off at %.1f s: %d of %d first tries failed, %d of %d at nodes that were not", r.seed, c.domain, c.from.Sub(r.began).Seconds(), there.failed, there.all, others.failed, others.all)
		}
	}
	r.t.Logf("seed %d: %d of %d first tries at nodes that were cut off failed, in %d cuts", r.seed, sum.failed, sum.all, len(r.cuts))
}

// cutOffAt reports whether a domain is cut off at a moment, or was a short time before.
func (r *reachRun) cutOffAt(domain string, at time.Time) bool {
	return slices.ContainsFunc(r.cuts, func(c cut) bool { return c.domain == domain && c.excuses(at) })
}
