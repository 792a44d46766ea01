package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// leavingMark is what one source says of one endpoint.
type leavingMark struct {
	endpoint string
	source   balance.Source
}

// EndpointLeaving notes what a source says of an endpoint. A chain leaves with
// any of its stages: one stage that stays must not call a chain back which
// another is leaving, so the marks are kept by endpoint and not by replica.
func (s *Service) EndpointLeaving(endpoint string, source balance.Source, leaving bool) {
	s.mark(endpoint, source, leaving)
	for _, replica := range s.ReplicasOf(endpoint) {
		s.Picker.Leaving(replica, source, s.anyLeaving(replica, source))
	}
}

// ReportLoad takes an endpoint's own report of its load.
func (s *Service) ReportLoad(endpoint string, l engineapi.Load) {
	s.mark(endpoint, balance.SourceEndpoint, l.Draining)
	s.Asked(endpoint, s.now())
	s.learnPace(endpoint, time.Duration(l.StepMicros)*time.Microsecond)
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

// LoadDue is an endpoint whose load is to be asked for.
type LoadDue struct {
	Endpoint string
	// Heard is when it was heard of, or last asked; never is the zero time.
	Heard time.Time
}

// LoadDue returns the endpoint, among those of the replicas that this node uses,
// that was heard of longest ago, and whether one of them must be asked in this of
// the turns that come a pause apart.
func (s *Service) LoadDue(pause time.Duration) (due LoadDue, must bool) {
	version := s.Picker.SubsetVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quietOf != version {
		s.quiet.SetEndpoints(s.endpointsOf(s.Picker.Subset()))
		s.quietOf = version
	}
	endpoint, heard, _ := s.quiet.Oldest()
	return LoadDue{endpoint, heard}, s.quiet.Due(s.now(), pause)
}

// Replicas returns how many replicas the document names.
func (s *Service) Replicas() int {
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

// Asked notes that an endpoint is being asked for its load, so that one that
// does not answer is not asked over and over before the others.
func (s *Service) Asked(endpoint string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet.Touch(endpoint, at)
}

// mark keeps what a source says of an endpoint that a replica needs. A word that
// is taken back is dropped even if no replica needs the endpoint any more: the
// source says it once, and a mark left behind would keep a chain that comes back
// in a later document from ever being used.
func (s *Service) mark(endpoint string, source balance.Source, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := leavingMark{endpoint, source}
	switch {
	case !leaving:
		delete(s.marks, m)
	case len(s.replicasOf[endpoint]) > 0:
		s.marks[m] = true
	}
}

func (s *Service) anyLeaving(replica string, source balance.Source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range s.stagesOf[replica] {
		if s.marks[leavingMark{endpoint, source}] {
			return true
		}
	}
	return false
}
