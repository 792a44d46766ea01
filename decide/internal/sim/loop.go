// Package sim runs the admission queue and the balancer against a small model of
// callers and one service in simulated time. Only tests use it. The same seed gives
// the same run.
//
// A slot is room for one running request at a replica. A load is a stream of calls. The
// offered load is the rate of calls divided by the rate that the replicas can answer. A
// verdict is a decision of the admission queue to start or refuse a request. A tick is
// a call that the queue needs at a certain time, because its decisions depend on time
// too.
package sim

import (
	"container/heap"
	"time"
)

// Start is the time at which every simulation begins.
var Start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// event is a function with the time at which it runs. Events of the same time run
// in order of their sequence number.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Loop runs functions at their scheduled times in simulated time.
type Loop struct {
	Now          time.Time
	events       events
	lastSequence int
}

// NewLoop returns a loop whose current time is Start.
func NewLoop() *Loop { return &Loop{Now: Start} }

// Schedule adds a function that runs at time t. Functions with the same time run in
// the order in which they were added.
func (l *Loop) Schedule(t time.Time, run func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: t, sequence: l.lastSequence, run: run})
}

// Run runs the functions that are scheduled up to and including the given time.
func (l *Loop) Run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = until
}
