package service

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// leavingKey identifies the leaving mark of one source for one endpoint.
type leavingKey struct {
	endpoint string
	source   balance.Source
}

// MarkLeaving records whether an endpoint is leaving, according to a source. A chain is
// leaving while any of its stages is leaving. The leaving marks are therefore kept by
// endpoint and not by replica. If the source says that one stage stays, the chain must not
// be used again while another stage is leaving.
func (s *Service) MarkLeaving(endpoint string, source balance.Source, leaving bool) {
	s.setMark(endpoint, source, leaving)
	for _, replica := range s.ReplicasOf(endpoint) {
		s.Picker.MarkLeaving(replica, source, s.anyLeaving(replica, source))
	}
}

// RecordLoad records an endpoint's own report of its load.
func (s *Service) RecordLoad(endpoint string, l engineapi.Load) {
	s.setMark(endpoint, balance.SourceEndpoint, l.Draining)
	s.MarkLoadPolled(endpoint, s.now())
	s.updateTokenTime(endpoint, stepTime(l.StepMicros))
	for _, replica := range s.ReplicasOf(endpoint) {
		s.Picker.Report(replica, balance.LoadReport{
			RunningRequests: requests(l.Running),
			WaitingRequests: requests(l.Waiting),
			Age:             reportAge(l.AgeMillis),
			Leaving:         s.anyLeaving(replica, balance.SourceEndpoint),
		})
	}
}

const (
	// maxStepTime is longer than any engine takes for a token; with a longer one every request
	// would be refused as too late.
	maxStepTime = time.Minute
	// maxReportAge is older than any report that is used.
	maxReportAge = time.Hour
	// maxRequests is more than any endpoint works on, so that sums stay in range.
	maxRequests = 1 << 20
)

// stepTime converts a report's time per token; 0, which is not known, for one that no engine has.
func stepTime(micros int64) time.Duration {
	if micros < 0 || micros > maxStepTime.Microseconds() {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

// reportAge converts the age of a report. One of the future is of now.
func reportAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxReportAge.Milliseconds())) * time.Millisecond
}

// requests returns a report's number of requests in the range of numbers that endpoints have.
func requests(reported int) int { return min(max(reported, 0), maxRequests) }

// ReplicasOf returns the replicas that have the endpoint as a stage.
func (s *Service) ReplicasOf(endpoint string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicasOf[endpoint]
}

// LoadPoll is an endpoint whose load should be polled.
type LoadPoll struct {
	Endpoint string
	// LastContact is the time of the endpoint's last load report or poll. It is zero if
	// the endpoint had neither.
	LastContact time.Time
}

// NextLoadPoll returns the endpoint with the oldest contact among the endpoints of the
// subset. mustPoll says whether some endpoint of the subset must be polled at this poll
// opportunity. interval is the time between poll opportunities.
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

// ReplicaCount returns the number of replicas in the document.
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

// MarkLoadPolled records that an endpoint's load is being polled. If only answers were
// recorded, an endpoint that does not answer would be polled repeatedly before the others.
func (s *Service) MarkLoadPolled(endpoint string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadPolls.Touch(endpoint, at)
}

// setMark sets or removes a source's leaving mark for an endpoint. The mark is set only if
// the endpoint is a stage of a replica. It is removed even if the endpoint is no longer a
// stage, because the source says only once that the endpoint is no longer leaving. If the
// mark remained, a chain that returns in a later document would never be used.
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
