package soak

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	stopSteps    = 18
	stopStepTime = time.Second
	// stopEvery is the number of steps between two stops: the next node is told to stop while the one before is about to
	// end.
	stopEvery   = 4
	stopGrace   = 5 * time.Second
	stopCallers = 32
	// stopWork is how long replicas of the plain service work on a request at most.
	stopWork = 900 * time.Millisecond
)

// Nodes are told to stop one after the other, as in an update, in calm, while callers go on asking on the connections
// that they have. No request that ran ends without a whole answer, none that was refused has run, and the promises of
// TestSoak hold.
func TestNodesThatStopInTurn(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var places []vmPlace
			for i := range usualNodes {
				places = append(places, vmPlace{name: fmt.Sprint("front-", i), domain: domainNames[0], ip: vmIP(i)})
			}
			r := newRunAt(t, bin, seed, stopGrace, places, func(s *site.Site, _ vmPlace) string { return s.Address() })
			r.crowd.number, r.crowd.keepsConnections = stopCallers, true
			for _, id := range []string{"i-plain-0", "i-plain-1"} {
				r.site.Replica(id).SetFault(replica.Fault{Work: time.Duration(r.draw.Int64N(int64(stopWork)))})
			}
			step := 0
			r.play(stopSteps, stopStepTime, func() {
				r.revive()
				if step%stopEvery == 0 {
					v := r.vms[step/stopEvery%len(r.vms)]
					r.tell("%s is told to stop", v.name)
					r.signal(v, syscall.SIGTERM)
				}
				step++
			})
			r.judgeStops()
		})
	}
}

// judgeStops looks for requests that ran and whose callers got no whole answer, or were told that they have not run.
func (r *run) judgeStops() {
	ran := map[string]bool{}
	for _, each := range r.site.Fleet.Runs("") {
		ran[each.Request] = true
	}
	answered, refused := 0, 0
	for _, a := range r.crowd.all() {
		switch {
		case ran[a.id] && !a.whole && !a.left:
			r.t.Errorf("seed %d, %s: request %s (%s), sent at %.2f s, ran and got no whole answer: status %d, %v\n%s",
				r.seed, a.node, a.id, a.kind, a.sent.Sub(r.began).Seconds(), a.status, a.err, strings.Join(r.linesAbout(a.id), "\n"))
		case a.whole && a.status < 300:
			answered++
		case a.whole:
			refused++
		}
	}
	if answered < 10*stopCallers {
		r.t.Errorf("seed %d: only %d requests were answered", r.seed, answered)
	}
	r.t.Logf("seed %d: %d requests were answered, %d refused", r.seed, answered, refused)
}
