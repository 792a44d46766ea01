package balance

import (
	"container/list"
	"slices"
	"time"
)

// PollSchedule orders endpoints by the time of their last contact, oldest first. A
// node polls the oldest one for its load, 16 times a second; scanning all endpoints
// for it made the processor time of an idle node grow with the number of replicas.
// Polls for cache events are scheduled in the same way. The zero value holds no
// endpoint.
type PollSchedule struct {
	entriesByContact  list.List // of *pollEntry, oldest contact first
	elementByEndpoint map[string]*list.Element
}

type pollEntry struct {
	endpoint    string
	lastContact time.Time
}

func entryOf(element *list.Element) *pollEntry { return element.Value.(*pollEntry) }

// Set replaces the endpoints. Endpoints of the previous set keep their times; new
// ones count as never contacted.
func (s *PollSchedule) SetEndpoints(endpoints []string) {
	oldElements := s.elementByEndpoint
	s.elementByEndpoint = make(map[string]*list.Element, len(endpoints))
	entries := make([]*pollEntry, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if _, duplicate := s.elementByEndpoint[endpoint]; duplicate {
			continue
		}
		s.elementByEndpoint[endpoint] = nil
		entry := &pollEntry{endpoint: endpoint}
		if oldElement := oldElements[endpoint]; oldElement != nil {
			entry = entryOf(oldElement)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(a, b *pollEntry) int { return a.lastContact.Compare(b.lastContact) })
	s.entriesByContact.Init()
	for _, entry := range entries {
		s.elementByEndpoint[entry.endpoint] = s.entriesByContact.PushBack(entry)
	}
}

// Touch records that an endpoint reported its load or is being polled for it. Polls
// count as contacts, so that an endpoint that does not answer is not polled
// repeatedly before the others.
func (s *PollSchedule) Touch(endpoint string, contactTime time.Time) {
	element := s.elementByEndpoint[endpoint]
	if element == nil || contactTime.Before(entryOf(element).lastContact) {
		return
	}
	entryOf(element).lastContact = contactTime
	s.entriesByContact.MoveToBack(element)
	// Times arrive nearly in order, so this loop takes few steps, mostly none.
	for previous := element.Prev(); previous != nil && entryOf(previous).lastContact.After(contactTime); previous = element.Prev() {
		s.entriesByContact.MoveBefore(element, previous)
	}
}

// Has reports whether an endpoint is in the current set.
func (s *PollSchedule) Has(endpoint string) bool { return s.elementByEndpoint[endpoint] != nil }

// HalfRoundElapsed reports whether the last contact with an endpoint was at least
// half a round ago, where a round is one poll interval per endpoint. It is used for
// polls that can be combined with another request at no cost.
func (s *PollSchedule) HalfRoundElapsed(endpoint string, now time.Time, interval time.Duration) bool {
	e := s.elementByEndpoint[endpoint]
	if e == nil {
		return false
	}
	roundDuration := time.Duration(s.entriesByContact.Len()) * interval
	return now.Sub(entryOf(e).lastContact) >= roundDuration/2
}

// Oldest returns the endpoint whose last contact is the longest ago, and the time
// of that contact; the zero time means never.
func (s *PollSchedule) Oldest() (endpoint string, lastContact time.Time, ok bool) {
	oldest := s.entriesByContact.Front()
	if oldest == nil {
		return "", time.Time{}, false
	}
	return entryOf(oldest).endpoint, entryOf(oldest).lastContact, true
}

// Due reports whether the oldest endpoint must be polled now, so that each endpoint
// is contacted at least once per round. A round is one interval per endpoint, with
// one poll opportunity per interval.
//
// Load pattern answered: answers to requests and to polls for cache events carry
// the load as well. Polling regardless of these brought no new information and took
// the largest part of an idle node's processor time.
//
// It would not be enough to skip a poll whenever the oldest contact is recent:
// after a burst of answers from all endpoints all would become due at the same
// time, and the last one would wait for two rounds. Therefore each endpoint must
// still be in time if the ones before it take the next poll opportunities.
func (s *PollSchedule) Due(now time.Time, interval time.Duration) bool {
	maxAge := time.Duration(s.entriesByContact.Len()) * interval
	// An answer takes some time, so that with a poll in every interval the contacts
	// are a little less than a round apart.
	maxAge += interval / 2
	for e := s.entriesByContact.Front(); e != nil; e = e.Next() {
		maxAge -= interval
		if now.Sub(entryOf(e).lastContact) > maxAge {
			return true
		}
	}
	return false
}
