package cases

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const poisonConfig = `{"version":%d,"routes":[
 {"name":"r-ask","host":"a.example","prefix":"/ask/","kind":"stream","timeoutMs":20000,"goalMs":500,"gapAimMs":200,"priority":1,"service":"asker","maxAttempts":2,"public":false,"sticky":true,"resumable":true},
 {"name":"r-reads","host":"a.example","prefix":"/read/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"booka","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"booka","healthPath":"/health","maxConns":96,"proto":"h1","tls":false},
 {"name":"asker","healthPath":"/health","maxConns":1058,"proto":"h1","tls":false,"engine":{"slots":192,"kvTokens":100000,"kvBytes":8000,"stride":2,
  "models":[{"name":"m","pace":1.0,"loadS":0.05,"warmS":0}],"step_ms":0.85,"read_per_s":196000,"report_lag_ms":200,"layers":8,"layerMb":100,"actBytes":2950,"pipeMbps":11000,
  "kinds":[{"name":"l4","mb":700,"pace":1,"readX":1}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"bogor","apiKeys":["k-review-0"],"priority":1}]}`

const (
	badPart       = "bad0"
	stable        = 3 * time.Second
	fatalCrashes  = 5
	tolerated     = 3
	soundEvery    = 250 * time.Millisecond // at each machine
	markedEvery   = 3 * time.Second        // at each machine
	poisonLasts   = 40 * time.Second
	perZone       = 4
	poisonDownFor = 3 * time.Second
)

// A part of prompts crashes each replica that begins to write an answer on it.
func TestPoison(t *testing.T) {
	zones := []string{"bandung", "bekasi", "bogor", "bandung", "bekasi", "bogor"}
	r := newRig()
	r.addPlain("booka", "bandung", "bekasi", "bogor")
	all := r.newEngines()
	all.how, all.downFor = "dark", poisonDownFor
	if how := os.Getenv("HOW"); how != "" {
		all.how = how
	}
	for i := range perZone {
		for _, zone := range zones[:3] {
			all.add(fmt.Sprintf("i-%s-%d", zone, i), zone)
		}
	}
	r.site.Put("op/config", fmt.Appendf(nil, poisonConfig, 7))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.beat(ctx)
	go all.beat(ctx)
	r.start("/read/x", zones...)
	time.Sleep(4 * time.Second) // the layers are placed

	var wg sync.WaitGroup
	stream := func(ctx context.Context, every time.Duration, marked bool) {
		for _, n := range r.nodes {
			wg.Go(func() {
				time.Sleep(rand.N(every))
				tick := time.NewTicker(every)
				defer tick.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-tick.C:
					}
					id := fmt.Sprintf("%016x", rand.Uint64())
					parts := "5c1e07a2:40," + id + ":400"
					if marked {
						parts = "5c1e07a2:40," + badPart + ":300," + id + ":400"
					}
					wg.Go(func() { r.askStream(n, id, parts) })
				}
			})
		}
	}
	asking, stopAsking := context.WithCancel(ctx)
	stream(asking, soundEvery, false)
	time.Sleep(4 * time.Second)
	r.tell("%d of %d sound streams were answered whole", r.whole(), len(r.calls()))
	if trouble() {
		all.mu.Lock()
		all.part = badPart
		all.mu.Unlock()
	}
	r.tell("requests with the part begin")
	stream(asking, markedEvery, true)
	time.Sleep(poisonLasts)
	stopAsking()
	wg.Wait()
	r.finish(r.judgePoison(all))
}

// whole counts the streams that were answered whole.
func (r *rig) whole() int {
	count := 0
	for _, c := range r.calls() {
		if c.target == "/ask/x" && c.status == http.StatusOK && c.err == nil {
			count++
		}
	}
	return count
}

func (r *rig) judgePoison(all *engines) bool {
	runs := map[string][]string{}
	crashes := all.crashTimes()
	late := 0
	for _, run := range all.runs {
		runs[run.id] = append(runs[run.id], fmt.Sprintf("%s at %s", run.replica, r.at(run.at)))
		if run.marked && len(crashes) >= fatalCrashes && run.at.After(crashes[fatalCrashes-1].Add(stable)) {
			late++
			r.tell("request %s with the part reaches %s at %s", run.id, run.replica, r.at(run.at))
		}
	}
	r.note("streams: sent at, id, node, answer, replicas that ran it")
	for _, c := range r.calls() {
		r.note("%s %s %s %s -> %d in %d ms %v; ran: %s", r.at(c.sent), c.id, c.node, c.target, c.status, c.ended.Sub(c.sent).Milliseconds(), c.err, strings.Join(runs[c.id], ", "))
	}
	r.tell("%d of %d streams were answered whole, %d replicas crashed", r.whole(), len(r.calls()), len(crashes))
	if late > tolerated {
		r.tell("BUDGET broken: %d requests with the part reached replicas later than %v after the fifth crash, %d are allowed", late, stable, tolerated)
	}
	return late > tolerated
}
