package cases

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// leavingConfig has an open route, whose requests need no key, beside one with keys.
const leavingConfig = `{"version":%d,"routes":[
 {"name":"r-open","host":"a.example","prefix":"/open/","kind":"unsafe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"booka","maxAttempts":1,"public":true,"sticky":false,"resumable":false},
 {"name":"r-reads","host":"a.example","prefix":"/read/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"booka","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"booka","healthPath":"/health","maxConns":96,"proto":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"bogor","apiKeys":["k-review-0"],"priority":1}]}`

const drain = 2 * time.Second

// The machines of one zone are partitioned from all replicas and forward. A replica leaves while the
// store is down, so that it can say so only in its answers. A partitioned machine passes such an answer
// on. Once it reaches the replicas again, over drainMs later, it sends the replica new requests.
func TestLeaving(t *testing.T) {
	zones := []string{"bandung", "bekasi", "bogor", "bandung", "bekasi", "bogor"}
	r := newRig(zones...)
	r.addPlain("booka", "bekasi", "bekasi", "bogor")
	r.site.Put("op/config", fmt.Appendf(nil, leavingConfig, 7))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.beat(ctx)
	r.start("/read/x", zones...)

	var wg sync.WaitGroup
	asking, stopAsking := context.WithCancel(ctx)
	r.load(asking, &wg, r.nodes[:1], 20*time.Millisecond, http.MethodPost, "/open/x", "forty cartons of cream")
	r.load(asking, &wg, r.nodes[3:4], 20*time.Millisecond, http.MethodPost, "/open/x", "forty cartons of cream")
	r.load(asking, &wg, r.nodes[1:3], 200*time.Millisecond, http.MethodPost, "/open/x", "forty cartons of cream")
	time.Sleep(2 * time.Second)
	leaver := r.favourite(r.nodes[0], "i-booka-")
	if trouble() {
		r.tell("the machines of bandung are partitioned from all replicas")
		r.views["bandung"].Cut((*link.Link).Refuse)
		r.views["bandung"].Cut((*link.Link).Reset)
	}
	time.Sleep(2 * time.Second)
	if trouble() {
		r.tell("the store is down, silently")
		for id := range r.site.Replicas() {
			r.silence(id, true)
		}
		r.site.Store.SetFaults(storefake.Faults{Freeze: true})
	}
	time.Sleep(time.Second)
	r.tell("%s leaves and says so in its answers", leaver)
	if trouble() {
		r.site.Replica(leaver).SetFault(replica.Fault{Leaving: true})
	} else {
		r.site.Replica(leaver).Announce() // the store takes its report
		r.site.Put("servers/"+leaver, r.site.Replica(leaver).Entry())
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble() {
		r.tell("the machines of bandung reach the replicas")
		r.views["bandung"].Heal()
	}
	time.Sleep(3 * time.Second)
	if trouble() {
		r.tell("the store is back")
		r.site.Store.SetFaults(storefake.Faults{})
		r.site.Replica(leaver).Announce()
		for id := range r.site.Replicas() {
			r.silence(id, false)
		}
	}
	time.Sleep(2 * time.Second)
	stopAsking()
	wg.Wait()
	r.noteAll()
	r.finish(r.judgeLeaving(leaver))
}

// judgeLeaving looks for requests that a consumer sent over drainMs after a machine had passed on an
// answer in which the replica said that it leaves, and that reached the replica from that machine.
func (r *rig) judgeLeaving(leaver string) (broken bool) {
	reached := map[string]time.Time{}
	for _, a := range r.site.Fleet.Arrivals(leaver) {
		reached[a.Request] = a.At
	}
	for _, n := range r.nodes {
		var told time.Time
		for _, c := range r.calls() {
			if c.node == n.name && c.leaving && c.stamp == "stamp-of-"+leaver && (told.IsZero() || c.answered.Before(told)) {
				told = c.answered
			}
		}
		if told.IsZero() {
			r.tell("%s has passed on no such answer", n.name)
			continue
		}
		count := 0
		for _, c := range r.calls() {
			if at, ok := reached[c.id]; ok && c.node == n.name && c.sent.After(told.Add(drain)) {
				count++
				r.tell("DRAIN broken: %s passed on that %s leaves at %s; request %s, sent to it at %s, reached the replica at %s, %v later",
					n.name, leaver, r.at(told), c.id, r.at(c.sent), r.at(at), c.sent.Sub(told).Round(time.Millisecond))
			}
		}
		r.tell("%s passed on that %s leaves at %s; %d requests reached it over %v later", n.name, leaver, r.at(told), count, drain)
		broken = broken || count > 0
	}
	return broken
}

// favourite is the replica that ran most of the requests sent to a machine so far.
func (r *rig) favourite(n *node, prefix string) string {
	at := map[string]string{}
	for _, c := range r.calls() {
		at[c.id] = c.node
	}
	counts, best := map[string]int{}, prefix+"0"
	for _, run := range r.site.Fleet.Runs("") {
		if at[run.Request] == n.name {
			if counts[run.Replica]++; counts[run.Replica] > counts[best] {
				best = run.Replica
			}
		}
	}
	return best
}
