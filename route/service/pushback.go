package service

import "time"

// PushedBack returns the replicas that want no requests from this node now.
func (s *Service) PushedBack() []string {
	var replicas []string
	for _, p := range s.Limits.Pushbacks() {
		replicas = append(replicas, p.Replica)
	}
	return replicas
}

// ObservePushback records that an endpoint wants no requests from this node for a time. It
// applies to all chains that have the endpoint as a stage, because each of them sends work to
// it. ObservePushback reports whether some replica wants none for longer than it was known to.
func (s *Service) ObservePushback(endpoint string, duration time.Duration) (extended bool) {
	for _, replica := range s.ReplicasOf(endpoint) {
		extended = s.Limits.ObservePushback(replica, duration) || extended
	}
	return extended
}
