package balance

import (
	"container/list"
	"slices"
	"time"
)

// PollSchedule orders endpoints by the time of their last contact, oldest first. A
// contact with an endpoint is a load report that the endpoint made, or a poll that
// is sent to the endpoint. Callers can send one poll per interval. A round is the
// time in which each endpoint can be polled once: the interval times the number of
// endpoints.
//
// Up to sixteen times a second, a node polls the endpoint with the oldest contact
// for its load. If the node scanned all endpoints to find that endpoint, the
// processor time of an idle node would grow with the number of replicas. Polls for
// cache events are scheduled in the same way. The zero value holds no endpoint.
type PollSchedule struct {
	entriesByContact  list.List // *pollEntry values, oldest contact first
	elementByEndpoint map[string]*list.Element
}

type pollEntry struct {
	endpoint    string
	lastContact time.Time
}

func entryOf(element *list.Element) *pollEntry { return element.Value.(*pollEntry) }

// SetEndpoints replaces the set of endpoints. Endpoints that were in the previous
// set keep the time of their last contact. New endpoints count as never contacted.
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

// Touch records a contact with an endpoint. Callers should call Touch for polls
// too. If only answers counted as contacts, an endpoint that does not answer would be polled
// repeatedly before the others.
func (s *PollSchedule) Touch(endpoint string, contactTime time.Time) {
	element := s.elementByEndpoint[endpoint]
	if element == nil || contactTime.Before(entryOf(element).lastContact) {
		return
	}
	entryOf(element).lastContact = contactTime
	s.entriesByContact.MoveToBack(element)
	// Contacts are recorded nearly in order of time, so this loop rarely iterates.
	for previous := element.Prev(); previous != nil && entryOf(previous).lastContact.After(contactTime); previous = element.Prev() {
		s.entriesByContact.MoveBefore(element, previous)
	}
}

// Has reports whether the endpoint is in the current set.
func (s *PollSchedule) Has(endpoint string) bool { return s.elementByEndpoint[endpoint] != nil }

// HalfRoundElapsed reports whether the last contact with an endpoint was at least
// half a round ago. Callers use HalfRoundElapsed for polls that cost nothing
// because they are sent as part of another request.
func (s *PollSchedule) HalfRoundElapsed(endpoint string, now time.Time, interval time.Duration) bool {
	e := s.elementByEndpoint[endpoint]
	if e == nil {
		return false
	}
	roundDuration := time.Duration(s.entriesByContact.Len()) * interval
	return now.Sub(entryOf(e).lastContact) >= roundDuration/2
}

// Oldest returns the endpoint with the oldest contact and the time of that contact,
// which is zero if there was no contact with the endpoint. ok is false if the set of
// endpoints is empty.
func (s *PollSchedule) Oldest() (endpoint string, lastContact time.Time, ok bool) {
	oldest := s.entriesByContact.Front()
	if oldest == nil {
		return "", time.Time{}, false
	}
	return entryOf(oldest).endpoint, entryOf(oldest).lastContact, true
}

// Due reports whether a poll must be sent now, so that each endpoint is contacted
// at least once per round. The poll must go to the endpoint with the oldest
// contact.
//
// Answers to requests and to polls for cache events carry load reports too.
// Polling regardless of these reports brought no new information and took the
// largest part of an idle node's processor time.
//
// Due does not simply compare the age of the oldest contact with a round. After a
// burst of answers from all endpoints, all endpoints would then become due at the
// same time, and the last of them would wait for two rounds. Due therefore looks
// ahead: it assumes that one endpoint is polled per interval from now on, oldest
// contact first. Due returns true if any endpoint would be polled too late in this
// order.
func (s *PollSchedule) Due(now time.Time, interval time.Duration) bool {
	maxAge := time.Duration(s.entriesByContact.Len()) * interval
	// The answer to a poll counts as a contact too and arrives a little after the
	// poll. One round after the poll, that contact is therefore a little less than
	// a round old. With a limit of a whole round, the next poll would be sent one
	// interval late. The limit for the first endpoint is therefore half an
	// interval less than a round.
	maxAge += interval / 2
	for e := s.entriesByContact.Front(); e != nil; e = e.Next() {
		maxAge -= interval
		if now.Sub(entryOf(e).lastContact) > maxAge {
			return true
		}
	}
	return false
}
