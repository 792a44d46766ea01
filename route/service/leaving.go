package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// leavingKey is what one source says of one endpoint.
type leavingKey struct {
	endpoint string
	source   balance.Source
}

// MarkLeaving notes what a source says of an endpoint. A chain leaves with
// any of its stages: one stage that stays must not call a chain back which
// another is leaving, so the marks are kept by endpoint and not by replica.
func (s *Service) MarkLeaving(endpoint string, source balance.Source, leaving bool) {
	s.setMark(endpoint, source, leaving)
	for _, replica := range s.ReplicasOf(endpoint) {
		s.Picker.Leaving(replica, source, s.anyLeaving(replica, source))
	}
}

// RecordLoad takes an endpoint's own report of its load.
func (s *Service) RecordLoad(endpoint string, l engineapi.Load) {
	s.setMark(endpoint, balance.SourceEndpoint, l.Draining)
	s.MarkLoadPolled(endpoint, s.now())
	s.updateTokenTime(endpoint, time.Duration(l.StepMicros)*time.Microsecond)
	for _, replica := range s.ReplicasOf(endpoint) {
		s.Picker.Report(replica, balance.LoadReport{
			RunningRequests: l.Running,
			WaitingRequests: l.Waiting,
			Age:             time.Duration(l.AgeMillis) * time.Millisecond,
			Leaving:         s.anyLeaving(replica, balance.SourceEndpoint),
		})
	}
}

// ReplicasOf returns the replicas that need an endpoint.
func (s *Service) ReplicasOf(endpoint string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicasOf[endpoint]
}

// LoadPoll is an endpoint whose load is to be asked for.
type LoadPoll struct {
	Endpoint string
	// LastContact is when it was heard of, or last asked; never is the zero time.
	LastContact time.Time
}

// NextLoadPoll returns the endpoint, among those of the replicas that this node uses,
// that was heard of longest ago, and whether one of them must be asked in this of
// the turns that come a pause apart.
func (s *Service) NextLoadPoll(interval time.Duration) (next LoadPoll, mustPoll bool) {
	version := s.Picker.SubsetVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadPollsVersion != version {
		s.loadPolls.SetEndpoints(s.endpointsOf(s.Picker.Subset()))
		s.loadPollsVersion = version
	}
	endpoint, lastContact, _ := s.loadPolls.Oldest()
	return LoadPoll{endpoint, lastContact}, s.loadPolls.Due(s.now(), interval)
}

// ReplicaCount returns how many replicas the document names.
func (s *Service) ReplicaCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stagesOf)
}

func (s *Service) endpointsOf(replicas []string) []string {
	var endpoints []string
	for _, replica := range replicas {
		endpoints = append(endpoints, s.stagesOf[replica]...)
	}
	return endpoints
}

// MarkLoadPolled notes that an endpoint is being asked for its load, so that one that
// does not answer is not asked over and over before the others.
func (s *Service) MarkLoadPolled(endpoint string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadPolls.Touch(endpoint, at)
}

// setMark keeps what a source says of an endpoint that a replica needs. A word that
// is taken back is dropped even if no replica needs the endpoint any more: the
// source says it once, and a setMark left behind would keep a chain that comes back
// in a later document from ever being used.
func (s *Service) setMark(endpoint string, source balance.Source, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := leavingKey{endpoint, source}
	switch {
	case !leaving:
		delete(s.leavingMarks, key)
	case len(s.replicasOf[endpoint]) > 0:
		s.leavingMarks[key] = true
	}
}

func (s *Service) anyLeaving(replica string, source balance.Source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range s.stagesOf[replica] {
		if s.leavingMarks[leavingKey{endpoint, source}] {
			return true
		}
	}
	return false
}
