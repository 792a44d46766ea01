package soak

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

const (
	// endpointNodes stand in domains of three, so that each node reads the store itself.
	endpointNodes   = 21
	endpointDomains = 7
	// endpointSteps of a run are endpointStepTime apart. Faults of one node end before the
	// node is in touch again, so most of the nodes are in touch most of the time.
	endpointSteps    = 50
	endpointStepTime = 300 * time.Millisecond
	// drainTime is how long after it left a replica may still get requests.
	drainTime = 2 * time.Second
	// answersFirst is how long some replicas that leave say so in answers alone.
	answersFirst = 5 * time.Second
	// inTouchAfter is how long after its last fault a node is bound by the promises.
	inTouchAfter = 3 * time.Second
	// limitSettles is how long after a replica first stated its limit the limit counts, in
	// any limitWindow: limitTolerance times as much and limitSlack more.
	limitSettles   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// statedLimit is a limit that a replica states from a moment on; to is zero while it does.
type statedLimit struct {
	replica           string
	requestsPerSecond float64
	from, to          time.Time
}

// endpointRun is a run in which replicas leave and state limits while nodes fail.
type endpointRun struct {
	*run
	left    map[string]time.Time // replicas that have left, and when the store knew
	limits  []statedLimit
	faults  map[string][]period // by node
	stops   map[string][]period // those of the faults that are restarts or freezes
	outages []period            // of the store
	// unlistAt is when the entries of replicas that leave without announcing it will go.
	unlistAt map[string]time.Time
	// pushedBack are the ends of the last times for which replicas want no requests.
	pushedBack map[string]time.Time
}

// period is the time of a fault.
type period struct{ from, to time.Time }

// excuses reports whether the fault is underway or has just ended at a moment.
func (p period) excuses(at time.Time) bool {
	return at.After(p.from) && at.Before(p.to.Add(inTouchAfter))
}

func lasting(d time.Duration) period {
	now := time.Now()
	return period{from: now, to: now.Add(d)}
}

// Replicas leave, announced or not, state limits and refuse requests for a time, while nodes are killed, stand still
// and are cut off from the store, and the store goes away, drawn from a seed. A node in touch
// sends nothing to a replica that left longer ago than replicas wait; a replica gets no more
// than the limit that it states, from all nodes in touch together; a node that was told that a
// replica leaves or wants no requests for a time keeps to it; and the promises of TestSoak hold.
func TestEndpointPromises(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &endpointRun{
				run:  newRun(t, bin, seed, endpointNodes, endpointDomains),
				left: map[string]time.Time{}, faults: map[string][]period{}, stops: map[string][]period{},
				unlistAt: map[string]time.Time{}, pushedBack: map[string]time.Time{},
			}
			r.addModels()
			r.play(endpointSteps, endpointStepTime, r.step)
			r.judgeLeft()
			r.judgeLimits()
			r.judgePushbacks()
			r.judgeSaidLeaving()
		})
	}
}

// addModels adds a third chain, so that models serve while some replicas state limits.
func (r *endpointRun) addModels() {
	config := r.site.Replica("i-model-0").Config
	for _, id := range []string{"i-model-4", "i-model-5"} {
		config.ID = id
		if err := r.site.Add(config); err != nil {
			r.t.Fatal(err)
		}
	}
}

func (r *endpointRun) step() {
	r.revive()
	r.unlistDue()
	v := r.vms[r.draw.IntN(len(r.vms))]
	switch r.draw.IntN(14) {
	case 0:
		r.tell("%s is killed and starts again", v.name)
		killedAt := time.Now()
		v.kill()
		v.start(r.t)
		r.stop(v, period{from: killedAt, to: time.Now()})
	case 1:
		r.stop(v, lasting(r.freeze(v)))
	case 2, 3:
		r.cutFromStore(v)
	case 4, 5:
		r.leave(true)
	case 6:
		r.leave(false)
	case 7, 8, 9:
		r.stateLimit()
	case 10:
		r.endLimit()
	case 11:
		if r.draw.IntN(3) == 0 { // while it is away, and for a while after, no node is in touch
			r.storeAway()
		}
	case 12, 13:
		r.pushBack()
	}
}

// stop records a restart or a freeze of a node.
func (r *endpointRun) stop(v *vm, p period) {
	r.faults[v.name] = append(r.faults[v.name], p)
	r.stops[v.name] = append(r.stops[v.name], p)
}

func (r *endpointRun) cutFromStore(v *vm) {
	lasts := time.Duration(1000+r.draw.IntN(2500)) * time.Millisecond
	r.tell("%s is cut off from the store for %v", v.name, lasts)
	r.faults[v.name] = append(r.faults[v.name], lasting(lasts))
	v.store.Freeze()
	time.AfterFunc(lasts, v.store.Heal)
}

func (r *endpointRun) storeAway() {
	const lasts = 800 * time.Millisecond
	r.tell("the store refuses for %v", lasts)
	r.outages = append(r.outages, lasting(lasts))
	r.site.Store.SetFaults(storefake.Faults{Refuse: true})
	time.AfterFunc(lasts, func() { r.site.Store.SetFaults(storefake.Faults{}) })
}

// leave lets a replica leave, and another one comes in its place. The replica serves on for
// the rest of the run, so that late requests reach it, and says in all answers that it leaves.
func (r *endpointRun) leave(announced bool) {
	id := r.drawReplica()
	if id == "" {
		return
	}
	leaving := r.site.Replica(id)
	r.added++
	config := leaving.Config
	config.ID = fmt.Sprint("i-later-", r.added)
	if err := r.site.Add(config); err != nil {
		r.t.Error(err)
		return
	}
	r.tell("%s leaves, announced: %v; %s comes", id, announced, config.ID)
	if announced {
		leaving.Announce()
		r.site.Beat()
		r.left[id] = time.Now()
		return
	}
	leaving.SetFault(replica.Fault{Leaving: true})
	r.unlistAt[id] = time.Now().Add(time.Duration(r.draw.IntN(2)) * answersFirst)
	r.unlistDue()
}

// unlistDue removes the entries of replicas that leave without announcing it.
func (r *endpointRun) unlistDue() {
	for id, at := range r.unlistAt {
		if time.Now().Before(at) {
			continue
		}
		r.site.Unlist(id)
		r.left[id] = time.Now()
		delete(r.unlistAt, id)
	}
}

// stateLimit lets a replica that stays state a limit. At most maxLimited do so at a time, so
// that others can serve.
func (r *endpointRun) stateLimit() {
	const maxLimited = 3
	inForce := 0
	for _, l := range r.limits {
		if l.to.IsZero() {
			inForce++
		}
	}
	if inForce >= maxLimited {
		return
	}
	id := r.drawReplica()
	if id == "" {
		return
	}
	limit := []float64{0.2, 0.5, 1, 2}[r.draw.IntN(4)]
	r.tell("%s states a limit of %v", id, limit)
	r.site.Replica(id).SetFault(replica.Fault{RateLimit: strconv.FormatFloat(limit, 'f', -1, 64)})
	r.limits = append(r.limits, statedLimit{replica: id, requestsPerSecond: limit, from: time.Now()})
}

// drawReplica returns one of the staying replicas, "" if there is none.
func (r *endpointRun) drawReplica() string {
	staying := r.staying()
	if len(staying) == 0 {
		return ""
	}
	return staying[r.draw.IntN(len(staying))]
}

// staying are the replicas that have not left, state no limit and want requests, sorted.
func (r *endpointRun) staying() []string {
	var ids []string
	for id := range r.site.Replicas() {
		_, gone := r.left[id]
		_, going := r.unlistAt[id]
		if !gone && !going && !r.limited(id) && time.Now().After(r.pushedBack[id]) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *endpointRun) limited(id string) bool {
	return slices.ContainsFunc(r.limits, func(l statedLimit) bool { return l.replica == id && l.to.IsZero() })
}

// endLimit ends the oldest limit that has counted for a while.
func (r *endpointRun) endLimit() {
	for i := range r.limits {
		l := &r.limits[i]
		if !l.to.IsZero() || time.Since(l.from) < limitSettles+limitWindow {
			continue
		}
		r.tell("%s states no limit any more", l.replica)
		l.to = time.Now()
		if each := r.site.Replica(l.replica); each != nil {
			each.SetFault(replica.Fault{})
		}
		return
	}
}

// inTouch reports whether a node and the store had no fault for inTouchAfter before a moment.
func (r *endpointRun) inTouch(node string, at time.Time) bool {
	excused := func(p period) bool { return p.excuses(at) }
	return !slices.ContainsFunc(r.outages, excused) && !slices.ContainsFunc(r.faults[node], excused)
}

// sentInTouch returns the runs of requests that nodes in touch have sent, in order.
func (r *endpointRun) sentInTouch() []replica.Run {
	node := map[string]string{}
	for _, a := range r.crowd.all() {
		node[a.id] = a.node
	}
	return slices.DeleteFunc(r.site.Fleet.Runs(""), func(each replica.Run) bool {
		return !r.inTouch(node[each.Request], each.At)
	})
}

func (r *endpointRun) judgeLeft() {
	sent := r.sentInTouch()
	r.t.Logf("seed %d: %d of %d requests were sent by nodes in touch", r.seed, len(sent), len(r.site.Fleet.Runs("")))
	for _, each := range sent {
		at, gone := r.left[each.Replica]
		if gone && each.At.Sub(at) > drainTime {
			r.t.Errorf("seed %d: request %s reached %s %v after it had left", r.seed, each.Request, each.Replica, each.At.Sub(at).Round(time.Millisecond))
		}
	}
}

func (r *endpointRun) judgeLimits() {
	sent := r.sentInTouch()
	for _, l := range r.limits {
		var arrived []time.Time
		var requests []string
		for _, each := range sent {
			ended := each.At.After(r.healedAt) || !l.to.IsZero() && each.At.After(l.to)
			if each.Replica == l.replica && each.At.After(l.from.Add(limitSettles)) && !ended {
				arrived = append(arrived, each.At)
				requests = append(requests, fmt.Sprintf("%.2f s %s", each.At.Sub(r.began).Seconds(), each.Request))
			}
		}
		allowed := limitTolerance*l.requestsPerSecond*limitWindow.Seconds() + limitSlack
		if most := mostWithin(arrived, limitWindow); float64(most) > allowed {
			r.t.Errorf("seed %d: %s got %d requests in %v with a limit of %v, allowed %v: %v", r.seed, l.replica, most, limitWindow, l.requestsPerSecond, allowed, requests)
		}
	}
}

// mostWithin returns the largest number of times within a window. The times are in order.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
