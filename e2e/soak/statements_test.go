package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	// pushbackGrace after a replica has refused a request of a node, and until the end of the
	// time for which it wants none, at most pushbackTolerance requests of that node reach it.
	pushbackGrace     = 500 * time.Millisecond
	pushbackTolerance = 2
)

// pushBack lets a replica, or all replicas of the plain service, refuse requests and state for
// how long they want none.
func (r *endpointRun) pushBack() {
	ids := []string{r.drawReplica()}
	if r.draw.IntN(3) == 0 {
		ids = r.plainReplicas()
	}
	wanted := time.Duration(1500+r.draw.IntN(2500)) * time.Millisecond
	for _, id := range ids {
		each := r.site.Replica(id)
		if each == nil {
			continue
		}
		r.tell("%s wants no requests for %v", id, wanted)
		r.pushedBack[id] = time.Now().Add(wanted)
		each.SetFault(replica.Fault{Refuse: true, RetryAfter: strconv.FormatFloat(wanted.Seconds(), 'f', -1, 64)})
		time.AfterFunc(wanted, func() { each.SetFault(replica.Fault{}) })
	}
}

// plainReplicas are those replicas of the plain service that drawReplica may return.
func (r *endpointRun) plainReplicas() []string {
	return slices.DeleteFunc(r.staying(), func(id string) bool { return r.site.Replica(id).Service != site.PlainService })
}

// judgePushbacks holds the requests of each node against what replicas have stated to it. A
// restart, a freeze or a cut of the node excuses it.
func (r *endpointRun) judgePushbacks() {
	node := r.nodesByRequest()
	refusals := 0
	for _, id := range r.site.Fleet.ReplicaIDs() {
		arrivals := r.site.Fleet.Arrivals(id)
		for i, refused := range arrivals {
			seconds, err := strconv.ParseFloat(refused.RetryAfter, 64)
			sender := node[refused.Request]
			if err != nil || sender == "" {
				continue
			}
			refusals++
			end := refused.At.Add(time.Duration(seconds * float64(time.Second)))
			if r.faultWithin(r.faults[sender], refused.At, end) {
				continue
			}
			var late []string
			for _, a := range arrivals[i+1:] {
				if node[a.Request] == sender && a.At.After(refused.At.Add(pushbackGrace)) && a.At.Before(end) {
					late = append(late, fmt.Sprintf("%.2f s %s", a.At.Sub(r.began).Seconds(), a.Request))
				}
			}
			if len(late) > pushbackTolerance {
				r.t.Errorf("seed %d: %s told %s at %.2f s to send nothing for %v s, and got %v", r.seed, id, sender, refused.At.Sub(r.began).Seconds(), seconds, late)
			}
		}
	}
	r.t.Logf("seed %d: %d refusals stated a time without requests", r.seed, refusals)
}

// judgeSaidLeaving holds the requests of each node against the answers that it has passed on in
// which a replica says that it leaves. Only a restart or a freeze of the node excuses it.
func (r *endpointRun) judgeSaidLeaving() {
	node, passedOn := r.nodesByRequest(), 0
	sent := map[string]time.Time{}
	told := map[[2]string]time.Time{} // by node and replica: the first answer
	for _, a := range r.crowd.all() {
		sent[a.id] = a.sent
		if !a.saidLeaving || a.node == "" {
			continue
		}
		passedOn++
		key := [2]string{a.node, a.replica}
		if at, known := told[key]; !known || a.answered.Before(at) {
			told[key] = a.answered
		}
	}
	for _, id := range r.site.Fleet.ReplicaIDs() {
		for _, a := range r.site.Fleet.Arrivals(id) {
			at, known := told[[2]string{node[a.Request], id}]
			if !known || !sent[a.Request].After(at.Add(drainTime)) || r.faultWithin(r.stops[node[a.Request]], at, a.At) {
				continue
			}
			r.t.Errorf("seed %d: request %s reached %s from %s %v after the node had passed on that it leaves",
				r.seed, a.Request, id, node[a.Request], a.At.Sub(at).Round(time.Millisecond))
		}
	}
	r.t.Logf("seed %d: %d answers said that their replica leaves", r.seed, passedOn)
}

// nodesByRequest returns the node that each request was sent to.
func (r *endpointRun) nodesByRequest() map[string]string {
	node := map[string]string{}
	for _, a := range r.crowd.all() {
		node[a.id] = a.node
	}
	return node
}

// faultWithin reports whether one of the faults overlaps a time.
func (r *endpointRun) faultWithin(faults []period, from, to time.Time) bool {
	return slices.ContainsFunc(faults, func(p period) bool { return p.from.Before(to) && p.to.After(from) })
}

// stampedBy returns the replica whose stamp an answer bears.
func stampedBy(stamp string) string { return strings.TrimPrefix(stamp, "stamp-of-") }
