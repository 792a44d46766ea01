package cases

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
)

// regressConfig moves the orders' route between two services. The probe's route stays.
const regressConfig = `{"version":%d,"routes":[
 {"name":"r-orders","host":"a.example","prefix":"/order/","kind":"unsafe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"%s","maxAttempts":1,"public":false,"sticky":false,"resumable":false},
 {"name":"r-reads","host":"a.example","prefix":"/read/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"booka","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"booka","healthPath":"/health","maxConns":96,"proto":"h1","tls":false},{"name":"bookb","healthPath":"/health","maxConns":96,"proto":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"bogor","apiKeys":["k-review-0"],"priority":1}]}`

const (
	rewind = 250 * time.Millisecond
	// Cuts last for cutFor, with pauses between them. In each the route moves changes times, at
	// moments that keep no step with the machines' reads of the store.
	cuts        = 9
	cutFor      = 8 * time.Second
	pauseFor    = 1500 * time.Millisecond
	changes     = 3
	changeAfter = time.Second
	changeEvery = 2130 * time.Millisecond
)

// change is one version of the configuration.
type change struct {
	service, before string
	at              time.Time
}

// The machines of one zone are partitioned from all replicas, and forward what they take from
// consumers to machines of other zones. These learn of a version at different moments. A consumer's
// order at a partitioned machine is run by the new service, and a later one at the same machine by the
// old service.
func TestRegress(t *testing.T) {
	zones := []string{"bandung", "bekasi", "bogor", "bandung", "bekasi", "bogor"}
	r := newRig(zones...)
	r.addPlain("booka", "bandung", "bekasi", "bogor")
	r.addPlain("bookb", "bandung", "bekasi", "bogor")
	version, services := 7, []string{"booka", "bookb"}
	put := func(service string) {
		version += 3
		r.site.Put("op/config", fmt.Appendf(nil, regressConfig, version, service))
	}
	put("booka")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.beat(ctx)
	r.start("/read/x", zones...)

	var wg sync.WaitGroup
	asking, stopAsking := context.WithCancel(ctx)
	r.load(asking, &wg, r.nodes, 25*time.Millisecond, http.MethodPost, "/order/x", "forty cartons of cream")
	time.Sleep(2 * time.Second)
	var made []change
	for range cuts {
		if trouble() {
			r.tell("the machines of bandung are partitioned from all replicas")
			r.views["bandung"].Cut((*link.Link).Refuse)
			r.views["bandung"].Cut((*link.Link).Reset)
		}
		begun := time.Now()
		time.Sleep(changeAfter + rand.N(400*time.Millisecond))
		for range changes {
			before := services[len(made)%2]
			c := change{service: services[(len(made)+1)%2], before: before}
			put(c.service)
			c.at = time.Now() // the store has confirmed it
			r.tell("version %d sends orders to %s", version, c.service)
			made = append(made, c)
			time.Sleep(changeEvery)
		}
		time.Sleep(time.Until(begun.Add(cutFor)))
		if trouble() {
			r.tell("the machines of bandung reach the replicas")
			r.views["bandung"].Heal()
		}
		time.Sleep(pauseFor)
	}
	stopAsking()
	wg.Wait()
	r.noteAll()
	r.finish(r.judgeRegress(made))
}

// judgeRegress looks for requests that were sent to a machine over rewindMs after a replica had run
// one of that machine's requests by a version, and that were run as only the version before allows.
func (r *rig) judgeRegress(made []change) (broken bool) {
	ranAt, ranBy := map[string]time.Time{}, map[string]string{}
	for _, run := range r.site.Fleet.Runs("") {
		ranAt[run.Request], ranBy[run.Request] = run.At, r.site.Replica(run.Replica).Service
	}
	served := 0
	for _, c := range r.calls() {
		if c.target == "/order/x" && c.status == http.StatusOK {
			served++
		}
	}
	r.tell("%d orders were answered with success", served)
	for i, m := range made {
		until := time.Now()
		if i+1 < len(made) {
			until = made[i+1].at
		}
		for _, n := range r.nodes {
			var seen time.Time
			seenBy := ""
			for _, c := range r.calls() {
				at, ran := ranAt[c.id]
				if c.node == n.name && ran && ranBy[c.id] == m.service && c.sent.After(m.at) && (seen.IsZero() || at.Before(seen)) && c.target == "/order/x" && c.sent.Before(until) {
					seen, seenBy = at, c.id
				}
			}
			if seen.IsZero() {
				continue
			}
			count, first, last := 0, "", time.Duration(0)
			for _, c := range r.calls() {
				if c.node == n.name && c.target == "/order/x" && ranBy[c.id] == m.before && c.sent.After(seen.Add(rewind)) && c.sent.Before(until) {
					if count++; count == 1 {
						first = c.id
					}
					last = c.sent.Sub(seen)
				}
			}
			if count > 0 {
				broken = true
				r.tell("CONFIG broken: change %d at %s: order %s at %s was run by %s at %s; %d orders sent to %s over %v later were run by %s, the first %s, the last sent %v after",
					i+1, r.at(m.at), seenBy, n.name, m.service, r.at(seen), count, n.name, rewind, m.before, first, last.Round(time.Millisecond))
			}
		}
	}
	return broken
}
