package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	silentNodes   = 9
	silentDomains = 3
	silentRounds  = 8
	// silentCallers ask streams of silentEvents, so that each silence meets a dozen streams or more.
	silentCallers = 30
	silentEvents  = 120
	// Replicas are silent for a time from shortestSilence on, longer by up to silenceRange.
	shortestSilence = 900 * time.Millisecond
	silenceRange    = 1000 * time.Millisecond
	// shortestPlainTimeout is the shortest timeout of orders and reads in any version, longer than two
	// silences.
	shortestPlainTimeout = 4 * time.Second
	// Of the time that a node has after a SIGTERM, it may end no answer in the first five sixths.
	stopTime = 8 * time.Second * 5 / 6
	// deadLeftWithin is the longest time without an event of a stream whose replica died, if no
	// replica is silent within calmAround of the death.
	deadLeftWithin = 1500 * time.Millisecond
	calmAround     = 2500 * time.Millisecond
	// forgottenAfter is how long the entry of a replica that died stays.
	forgottenAfter = 600 * time.Millisecond
)

// stopped is a kill of a node, or a SIGTERM.
type stopped struct {
	at     time.Time
	killed bool
}

// excuses reports whether the stop may have ended an answer.
func (s stopped) excuses(a asked) bool {
	if s.killed {
		return a.sent.Before(s.at) && !a.ended.Before(s.at)
	}
	return a.sent.Before(s.at.Add(stopTime)) && a.ended.After(s.at.Add(stopTime))
}

// death is the end of a replica for good.
type death struct {
	at     time.Time
	silent bool // it says nothing, also that it is gone
}

// silentRun is a run in which replicas are silent together.
type silentRun struct {
	*run
	version  site.Version
	stops    map[string][]stopped // by node
	deaths   map[string]death     // by replica
	silences []period
}

// action is something that happens in a round.
type action struct {
	after time.Duration
	do    func()
}

// All replicas, those of a service or some of them are silent for one to two seconds, with a long or
// a short queue of new connections, while versions of the configuration follow each other, nodes are
// killed, told to stop, told to read their settings and cut off from the store, and replicas die,
// drawn from a seed. No node ends an answer that a sound replica goes on with, streams leave dead
// replicas within a second or so, and the promises of TestSoak hold.
func TestSilentReplicas(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newSilentRun(t, bin, seed)
			r.play(silentRounds, 0, r.round)
			r.judgeGoingOn()
			r.judgeDead()
			if t.Failed() {
				t.Logf("what happened:\n%s", strings.Join(r.story, "\n"))
				r.keepLogs()
			}
		})
	}
}

// keepLogs writes what the nodes have logged into the directory that go test -artifacts keeps.
func (r *silentRun) keepLogs() {
	for _, v := range r.vms {
		text := strings.Join(v.now().Lines(), "\n")
		if err := os.WriteFile(filepath.Join(r.t.ArtifactDir(), v.name+".log"), []byte(text), 0o600); err != nil {
			r.t.Error(err)
		}
	}
}

func newSilentRun(t *testing.T, bin string, seed uint64) *silentRun {
	return newSilentRunOn(newRun(t, bin, seed, silentNodes, silentDomains))
}

// newSilentRunOn gives a run replicas and callers enough for silences.
func newSilentRunOn(base *run) *silentRun {
	r := &silentRun{
		run:   base,
		stops: map[string][]stopped{}, deaths: map[string]death{},
	}
	r.crowd.number, r.crowd.keepsConnections, r.events = silentCallers, true, silentEvents
	for _, each := range r.site.Replicas() {
		each.Events = silentEvents
	}
	model := r.site.Replica("i-model-0").Config
	model.Domain = domainNames[1]
	for _, id := range []string{"i-model-4", "i-model-5", "i-model-6", "i-model-7"} {
		model.ID = id
		r.add(model)
	}
	for i, domain := range domainNames[1:silentDomains] {
		r.add(replica.Config{ID: fmt.Sprint("i-other-", i), Service: site.OtherService, Domain: domain})
	}
	r.version = site.Version{
		Keys: []string{r.current()}, IdleTimeout: 10 * time.Second,
		StreamTimeout: keepingPatience, PlainTimeout: shortestPlainTimeout,
	}
	r.site.ConfigureVersion(r.version)
	return r
}

func (r *silentRun) add(c replica.Config) {
	if err := r.site.Add(c); err != nil {
		r.t.Fatal(err)
	}
}

// round lets a series of versions overlap with silences, faults of nodes and deaths of replicas.
func (r *silentRun) round() {
	r.revive()
	var list []action
	add := func(after time.Duration, do func()) { list = append(list, action{after, do}) }
	at := r.upTo(300)
	for range 2 + r.draw.IntN(4) {
		add(at, r.nextVersion())
		at += 300*time.Millisecond + r.upTo(700)
	}
	calm := r.draw.IntN(4) == 0
	if calm {
		time.Sleep(calmAround)
		defer time.Sleep(calmAround)
	} else {
		r.addSilences(add)
	}
	for range r.draw.IntN(3) {
		add(r.upTo(2000), r.nodeFault())
	}
	if calm || r.draw.IntN(4) == 0 {
		add(r.upTo(1500), r.dying())
	}
	perform(list)
	time.Sleep(shortestSilence + r.upTo(1500))
}

// perform does all actions, each at its time.
func perform(list []action) {
	slices.SortStableFunc(list, func(a, b action) int { return int(a.after - b.after) })
	began := time.Now()
	for _, each := range list {
		time.Sleep(time.Until(began.Add(each.after)))
		each.do()
	}
}

func (r *silentRun) upTo(ms int) time.Duration {
	return time.Duration(r.draw.IntN(ms)) * time.Millisecond
}

// nextVersion returns an action that writes a version which differs in one thing.
func (r *silentRun) nextVersion() func() {
	kind, n := r.draw.IntN(5), r.draw.IntN(100)
	return func() {
		v := &r.version
		switch kind {
		case 0:
			v.IdleTimeout = time.Duration(1000+100*n) * time.Millisecond
		case 1:
			v.PlainTimeout = shortestPlainTimeout + time.Duration(20*n)*time.Millisecond
		case 2:
			v.Swapped = !v.Swapped
		case 3:
			v.OtherWeight = n
		case 4:
			v.Keys = append(v.Keys, fmt.Sprint("key-added-", len(v.Keys)))
		}
		r.tell("a version: %+v", *v)
		r.site.ConfigureVersion(*v)
	}
}

// addSilences adds the silence of some replicas, or of one and shortly after it of more.
func (r *silentRun) addSilences(add func(time.Duration, func())) {
	at, lasts := r.upTo(1500), shortestSilence+r.upTo(int(silenceRange/time.Millisecond))
	queue := []int{replica.LongQueue, replica.ShortQueue}[r.draw.IntN(2)]
	if r.draw.IntN(2) == 0 {
		n := r.draw.IntN(1 << 10)
		add(at, func() {
			ids := r.ids(func(c *replica.Replica) bool { return c.Model })
			r.silence(lasts, queue, []string{ids[n%len(ids)]})
		})
		at += 20*time.Millisecond + r.upTo(80)
	}
	scope, draw := r.draw.IntN(8), rand.New(rand.NewPCG(r.draw.Uint64(), 11))
	add(at, func() { r.silence(lasts, queue, r.scope(scope, draw)) })
}

// scope returns the replicas of which a silence takes hold.
func (r *silentRun) scope(kind int, draw *rand.Rand) []string {
	return r.ids(func(c *replica.Replica) bool {
		switch kind {
		case 0, 1, 2:
			return true
		case 3, 4:
			return c.Model
		case 5:
			return !c.Model
		case 6:
			return c.Domain == domainNames[0]
		}
		return draw.IntN(2) == 0
	})
}

// ids are the replicas that fit, sorted.
func (r *silentRun) ids(fits func(*replica.Replica) bool) []string {
	var ids []string
	replicas := r.site.Replicas()
	for id := range replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.DeleteFunc(ids, func(id string) bool { return !fits(replicas[id]) })
}

func (r *silentRun) silence(lasts time.Duration, queue int, ids []string) {
	r.tell("silent for %v, queue of %d: %v", lasts, queue, ids)
	r.silences = append(r.silences, lasting(lasts))
	r.site.Silence(lasts, queue, func(c *replica.Replica) bool { return slices.Contains(ids, c.ID) })
}

// nodeFault returns an action that disturbs one node.
func (r *silentRun) nodeFault() func() {
	v, lasts := r.vms[r.draw.IntN(len(r.vms))], 300*time.Millisecond+r.upTo(900)
	switch r.draw.IntN(6) {
	case 0, 1:
		return func() {
			r.tell("%s is told to read its settings", v.name)
			r.signal(v, syscall.SIGHUP)
		}
	case 2:
		return func() {
			r.tell("%s is told to stop", v.name)
			r.stops[v.name] = append(r.stops[v.name], stopped{at: time.Now()})
			r.signal(v, syscall.SIGTERM)
		}
	case 3:
		return func() {
			r.tell("%s is killed and starts again", v.name)
			r.stops[v.name] = append(r.stops[v.name], stopped{at: time.Now(), killed: true})
			v.kill()
			v.start(r.t)
		}
	}
	return func() {
		r.tell("%s is cut off from the store for %v", v.name, lasts)
		v.store.Freeze()
		time.AfterFunc(lasts, v.store.Heal)
	}
}

// dying returns an action that lets a replica die, and another one come. It is reset, or falls
// silent for good.
func (r *silentRun) dying() func() {
	n, silent := r.draw.IntN(1<<10), r.draw.IntN(2) == 0
	return func() {
		ids := r.ids(func(*replica.Replica) bool { return true })
		id := ids[n%len(ids)]
		config := r.site.Replica(id).Config
		r.added++
		config.ID = fmt.Sprint("i-new-", r.added)
		r.tell("%s dies, silent: %v; %s comes", id, silent, config.ID)
		r.deaths[id] = death{at: time.Now(), silent: silent}
		if silent {
			r.site.Replica(id).Silence(time.Hour, replica.ShortQueue)
			time.AfterFunc(forgottenAfter, func() { r.site.Unlist(id) })
		} else {
			r.site.Lose(id)
			time.AfterFunc(forgottenAfter, func() { r.site.Forget(id) })
		}
		r.add(config)
	}
}

// judgeGoingOn holds that no answer is ended that a sound replica goes on with.
func (r *silentRun) judgeGoingOn() {
	runs, judged := r.runsByRequest(), 0
	for _, a := range r.crowd.all() {
		if len(runs[a.id]) == 0 || r.mayEnd(a, runs[a.id]) {
			continue
		}
		judged++
		if a.status != http.StatusOK || !a.whole {
			r.t.Errorf("seed %d: %s %s at %s is ended, and no replica of it: %s\n%s",
				r.seed, a.kind, a.id, a.node, r.course(a, runs[a.id]), strings.Join(r.linesAbout(a.id), "\n"))
		}
	}
	r.t.Logf("seed %d: %d answers were judged by whether they were ended", r.seed, judged)
}

// mayEnd reports whether an answer that ran may have ended for a reason other than its node.
func (r *silentRun) mayEnd(a asked, runs []replica.Run) bool {
	switch {
	case a.ended.IsZero(): // a question of the test itself
		return true
	case a.left: // the caller left
		return true
	case slices.ContainsFunc(r.stops[a.node], func(s stopped) bool { return s.excuses(a) }): // its node ended
		return true
	}
	return slices.ContainsFunc(runs, func(each replica.Run) bool { // its replica ended
		d, dead := r.deaths[each.Replica]
		return dead && !a.ended.Before(d.at)
	})
}

func (r *silentRun) runsByRequest() map[string][]replica.Run {
	runs := map[string][]replica.Run{}
	for _, each := range r.site.Fleet.Runs("") {
		runs[each.Request] = append(runs[each.Request], each)
	}
	return runs
}

// course says when a request was sent, ran and ended.
func (r *silentRun) course(a asked, runs []replica.Run) string {
	since := func(at time.Time) float64 { return at.Sub(r.began).Seconds() }
	text := fmt.Sprintf("sent %.3f, status %d, %d bytes, ended %.3f, %v, longest gap %v until %.3f", since(a.sent), a.status,
		len(a.body), since(a.ended), a.err, a.gap.Round(time.Millisecond), since(a.gapAt))
	for _, each := range runs {
		text += fmt.Sprintf("; ran %.3f at %s along %s after event %q", since(each.At), each.Replica,
			each.Header.Get("Hop-Count"), each.Header.Get("Last-Event-Id"))
	}
	return text
}

// judgeDead holds that streams go on when their replica has died, if no replica is silent then.
func (r *silentRun) judgeDead() {
	runs, judged := r.runsByRequest(), 0
	for _, a := range r.crowd.all() {
		if a.kind != stream || a.ended.IsZero() || slices.ContainsFunc(r.stops[a.node], func(s stopped) bool { return s.excuses(a) }) {
			continue
		}
		for _, each := range runs[a.id] {
			d, dead := r.deaths[each.Replica]
			if !dead || a.ended.Before(d.at) || each.At.After(d.at) || r.silentAround(d.at) {
				continue
			}
			judged++
			if !a.whole || a.status != http.StatusOK || a.gap > deadLeftWithin {
				r.t.Errorf("seed %d: %s at %s does not go on when %s has died at %.3f s: %s\n%s", r.seed, a.id, a.node, each.Replica,
					d.at.Sub(r.began).Seconds(), r.course(a, runs[a.id]), strings.Join(r.linesAbout(a.id), "\n"))
			}
		}
	}
	r.t.Logf("seed %d: %d streams were judged by whether they left a dead replica", r.seed, judged)
}

// silentAround reports whether replicas were silent shortly before or after a moment.
func (r *silentRun) silentAround(at time.Time) bool {
	return slices.ContainsFunc(r.silences, func(p period) bool {
		return p.from.Before(at.Add(calmAround)) && p.to.After(at.Add(-calmAround))
	})
}
