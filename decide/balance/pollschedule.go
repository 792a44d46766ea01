package balance

import (
	"container/list"
	"slices"
	"time"
)

// PollSchedule orders endpoints by when they were last heard of, the longest ago first.
// A node asks the first for its load, 16 times a second: with a scan of all the
// processor time of an idle node grew with the replicas. Replicas that are asked
// for their cache events are kept in the same way. The zero value holds no
// endpoint.
type PollSchedule struct {
	byContact list.List // of *quietPlace
	elements  map[string]*list.Element
}

type pollEntry struct {
	endpoint    string
	lastContact time.Time
}

func entryOf(e *list.Element) *pollEntry { return e.Value.(*pollEntry) }

// Set replaces the endpoints. Those in it before keep their times; newcomers
// have never been heard of.
func (s *PollSchedule) Set(endpoints []string) {
	old := s.elements
	s.elements = make(map[string]*list.Element, len(endpoints))
	entries := make([]*pollEntry, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if _, duplicate := s.elements[endpoint]; duplicate {
			continue
		}
		s.elements[endpoint] = nil
		p := &pollEntry{endpoint: endpoint}
		if previous := old[endpoint]; previous != nil {
			p = entryOf(previous)
		}
		entries = append(entries, p)
	}
	slices.SortStableFunc(entries, func(a, b *pollEntry) int { return a.lastContact.Compare(b.lastContact) })
	s.byContact.Init()
	for _, p := range entries {
		s.elements[p.endpoint] = s.byContact.PushBack(p)
	}
}

// Touch notes that an endpoint told its load, or is being asked for it, so that
// one which does not answer is not asked over and over before the others.
func (s *PollSchedule) Touch(endpoint string, at time.Time) {
	e := s.elements[endpoint]
	if e == nil || at.Before(entryOf(e).lastContact) {
		return
	}
	entryOf(e).lastContact = at
	s.byContact.MoveToBack(e)
	// Times come nearly in order: few steps, mostly none.
	for previous := e.Prev(); previous != nil && entryOf(previous).lastContact.After(at); previous = e.Prev() {
		s.byContact.MoveBefore(e, previous)
	}
}

// Has says whether an endpoint is among those of the last Set.
func (s *PollSchedule) Has(endpoint string) bool { return s.elements[endpoint] != nil }

// HalfRoundElapsed says whether an endpoint was heard of at least half a round ago, a
// round being as many turns as there are endpoints. A question that can be put
// along with another one at no cost is put then.
func (s *PollSchedule) HalfRoundElapsed(endpoint string, now time.Time, interval time.Duration) bool {
	e := s.elements[endpoint]
	if e == nil {
		return false
	}
	round := time.Duration(s.byContact.Len()) * interval
	return now.Sub(entryOf(e).lastContact) >= round/2
}

// Oldest returns the endpoint that was heard of longest ago, and when; never is
// the zero time.
func (s *PollSchedule) Oldest() (endpoint string, lastContact time.Time, ok bool) {
	oldest := s.byContact.Front()
	if oldest == nil {
		return "", time.Time{}, false
	}
	return entryOf(oldest).endpoint, entryOf(oldest).lastContact, true
}

// Due says whether one must be asked now, of turns that come a pause apart, for
// each to be heard of once in as many turns as there are endpoints.
//
// Load pattern answered: answers to requests, and to questions for cache events,
// bring load as well. Questions that are asked all the same tell nothing new and
// were the largest part of an idle node's processor time.
//
// To skip a turn whenever the first was heard of lately would not do: after a
// burst of answers all endpoints were heard of at once, would all be due at once,
// and the last would wait for twice the time. So each must still be in time if
// the ones before it take the turns to come.
func (s *PollSchedule) Due(now time.Time, interval time.Duration) bool {
	maxAge := time.Duration(s.byContact.Len()) * interval
	// An answer takes a while: with the question each turn, an endpoint is heard
	// of a little less than all turns ago.
	maxAge += interval / 2
	for e := s.byContact.Front(); e != nil; e = e.Next() {
		maxAge -= interval
		if now.Sub(entryOf(e).lastContact) > maxAge {
			return true
		}
	}
	return false
}
