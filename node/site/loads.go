package site

import (
	"maps"
	"time"

	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// setAdmissions keeps one admission for each service under load control. Attempts of a service
// that leaves load control end at the admission that counted them.
func (s *services) setAdmissions(list []*ruleset.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.admissions
	s.admissions = map[string]*loadadmission.Admission{}
	for _, service := range list {
		if !service.LoadControl {
			continue
		}
		a := known[service.Name]
		if a == nil {
			a = loadadmission.New(loadshed.Config{LatencyObjective: service.LatencyObjective, Seed: s.node.seed}, time.Now)
			s.node.log.Info("load control in force", "service", service.Name, "objective_ms", service.LatencyObjective.Milliseconds())
		}
		a.SetObjective(service.LatencyObjective)
		s.admissions[service.Name] = a
	}
	for service := range known {
		if s.admissions[service] == nil {
			s.node.log.Info("load control no longer in force", "service", service)
			s.node.metrics.LoadControl(service, false, 0, 0)
		}
	}
}

// Admission implements ingress.Services.
func (s *services) Admission(service string) *loadadmission.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admissions[service]
}

func (s *services) allAdmissions() map[string]*loadadmission.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admissions // setAdmissions replaces the map and does not change it
}

// loads is this node's load of each service under load control.
func (s *services) loads() map[string]loadshed.Totals {
	all := map[string]loadshed.Totals{}
	for service, a := range s.allAdmissions() {
		all[service] = a.Own()
	}
	return all
}

// shareLoads passes the load at other nodes on to the admissions.
func (n *Node) shareLoads() {
	if dropped := n.bookings.DroppedLoads(); dropped > 0 {
		n.log.Warn("loads of services passed over", "loads", dropped)
	}
	admissions := n.services.allAdmissions()
	maps.DeleteFunc(n.saturated, func(service string, _ bool) bool { return admissions[service] == nil })
	if len(admissions) == 0 {
		return
	}
	others := n.bookings.OtherLoads()
	for service, a := range admissions {
		if !a.SetOthers(others[service]) {
			n.log.Warn("loads of services passed over", "service", service, "nodes", others[service].Nodes)
		}
		n.logSaturation(service, a.State(), others[service].Nodes+1)
	}
}

// logSaturation logs when a service becomes saturated and when that ends. nodes is the number of
// nodes whose figures are included.
func (n *Node) logSaturation(service string, state loadshed.State, nodes int) {
	if state.Saturated == n.saturated[service] {
		return
	}
	n.saturated[service] = state.Saturated
	n.log.Info("load control", "service", service, "saturated", state.Saturated, "wait_ms", state.Wait.Milliseconds(),
		"first_events_per_second", state.Capacity, "admitted_per_second", state.Admitted, "nodes", nodes)
}

// gaugeLoads sets the figures of the services under load control.
func (n *Node) gaugeLoads() {
	for service, a := range n.services.allAdmissions() {
		state := a.State()
		n.metrics.LoadControl(service, state.Saturated, state.Wait, state.Admitted)
	}
}

// loadControl is the state of the services under load control, for operators.
func (n *Node) loadControl() map[string]operators.LoadControl {
	others := n.bookings.OtherLoads()
	all := map[string]operators.LoadControl{}
	for service, a := range n.services.allAdmissions() {
		state := a.State()
		all[service] = operators.LoadControl{
			Saturated: state.Saturated, WaitMillis: state.Wait.Milliseconds(), FirstEventsPerSecond: state.Capacity,
			AdmittedPerSecond: state.Admitted, Nodes: others[service].Nodes + 1,
		}
	}
	return all
}
