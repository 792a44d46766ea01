// Package loadadmission admits the requests of one service by package decide/loadshed. It makes
// the decision safe for concurrent use, and counts the requests that await their first event.
package loadadmission

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/loadshed"
)

// Admission admits the requests of one service under load control. It is safe for concurrent
// use.
type Admission struct {
	now func() time.Time

	mu         sync.Mutex
	controller *loadshed.Controller
}

// New returns an Admission that admits all requests until the service is saturated.
func New(cfg loadshed.Config, now func() time.Time) *Admission {
	return &Admission{now: now, controller: loadshed.New(cfg)}
}

// SetObjective replaces loadshed.Config.LatencyObjective.
func (a *Admission) SetObjective(objective time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetObjective(objective)
}

// ClassOf returns the class of a request of the given priority and team.
func ClassOf(priority int, team string) loadshed.Class {
	name := fnv.New32a()
	_, _ = name.Write([]byte(team)) // a hash takes any write
	return loadshed.Class{Priority: priority, Team: name.Sum32()}
}

// Admit decides on a new request.
func (a *Admission) Admit(r loadshed.Request) loadshed.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Admit(a.now(), r)
}

// Defer records that an admitted request can't be served now, and returns when its caller should
// return.
func (a *Admission) Defer(r loadshed.Request) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Defer(a.now(), r)
}

// Own returns this node's figures, for other nodes. The demand by class is left out while no
// node needs it.
func (a *Admission) Own() loadshed.Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	own := a.controller.Own(now)
	if !a.controller.NeedsClasses(now) {
		own.Classes = nil
	}
	return own
}

// SetOthers records the figures of other nodes. It returns false for impossible figures, and
// ignores them.
func (a *Admission) SetOthers(others loadshed.Totals) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.SetOthers(others)
}

// State returns the load of the service.
func (a *Admission) State() loadshed.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.State(a.now())
}

// Awaiting is an admitted request that awaits its first event.
type Awaiting struct {
	admission *Admission
	since     time.Time
	once      sync.Once
}

// Await records that an admitted request awaits its first event from now on. FirstEvent or Ended
// must follow; later calls of both do nothing. The methods of a nil Awaiting do nothing.
func (a *Admission) Await() *Awaiting {
	a.mu.Lock()
	defer a.mu.Unlock()
	awaiting := &Awaiting{admission: a, since: a.now()}
	a.controller.Sent(awaiting.since)
	return awaiting
}

// FirstEvent records the first event of the request.
func (t *Awaiting) FirstEvent() {
	if t == nil {
		return
	}
	t.once.Do(func() {
		a := t.admission
		a.mu.Lock()
		defer a.mu.Unlock()
		a.controller.FirstEvent(a.now(), t.since)
	})
}

// Ended records that the request ended.
func (t *Awaiting) Ended() {
	if t == nil {
		return
	}
	t.once.Do(func() {
		t.admission.mu.Lock()
		defer t.admission.mu.Unlock()
		t.admission.controller.Ended(t.since)
	})
}
