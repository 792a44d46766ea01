// Package sim runs decision modules against a small model of callers and one
// service in simulated time. It is a test helper. The same seed gives the same run.
package sim

import (
	"container/heap"
	"time"
)

// Start is the time at which every simulation begins.
var Start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

type event struct {
	at       time.Time
	sequence int
	run      func()
}

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

// Loop is an event loop that runs functions in the order of their scheduled times.
type Loop struct {
	Now          time.Time
	events       events
	lastSequence int
}

// NewLoop returns a loop whose time is Start.
func NewLoop() *Loop { return &Loop{Now: Start} }

// Schedule adds a function that runs at time t. Functions of the same time run in
// the order in which they were added.
func (l *Loop) Schedule(t time.Time, run func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: t, sequence: l.lastSequence, run: run})
}

// Run runs the functions scheduled up to and including the given time.
func (l *Loop) Run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = until
}
