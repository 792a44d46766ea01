// Package reachability tells of which services a node reaches no endpoint. It feeds
// decide/reach with the results of opening connections, and makes the probes that decide/reach
// asks for.
package reachability

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/reach"
	"github.com/cicadatack/cicadatack/route/connprobe"
)

// recheckInterval is the time between two rounds of probes while a service is out of reach.
const recheckInterval = 400 * time.Millisecond

// Monitor tells of which services this node reaches no endpoint. Safe for concurrent use.
type Monitor struct {
	seed uint64
	log  hclog.Logger
	// verify is sent to when a service may be out of reach.
	verify chan struct{}

	mu       sync.Mutex
	services map[string]*reach.Tracker
	// lastRechecked is the service whose replicas the last round of probes rechecked last.
	lastRechecked string
	// recheckAll is set if the node reaches a service again. The services that are still out of
	// reach are then rechecked at once.
	recheckAll bool
	// owners finds the endpoints at an address: one endpoint can belong to several services.
	owners    map[string][]owner
	addresses map[string]string
}

// owner is an endpoint of a service.
type owner struct{ service, endpoint string }

// New returns a Monitor without services. Nodes with different seeds probe different endpoints.
func New(seed uint64, log hclog.Logger) *Monitor {
	return &Monitor{
		seed: seed, log: log, verify: make(chan struct{}, 1),
		services: map[string]*reach.Tracker{}, owners: map[string][]owner{}, addresses: map[string]string{},
	}
}

// SetEndpoints replaces the addresses of the services' endpoints, by service and endpoint.
func (m *Monitor) SetEndpoints(services map[string]map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.services
	m.services = make(map[string]*reach.Tracker, len(services))
	clear(m.owners)
	clear(m.addresses)
	for service, endpoints := range services {
		tracker := known[service]
		if tracker == nil {
			tracker = reach.New(m.seed)
		}
		tracker.SetReplicas(slices.Collect(maps.Keys(endpoints)))
		m.services[service] = tracker
		for endpoint, address := range endpoints {
			m.owners[address] = append(m.owners[address], owner{service: service, endpoint: endpoint})
			m.addresses[endpoint] = address
		}
	}
}

// ObserveDial records the result of opening a connection.
func (m *Monitor) ObserveDial(address string, connected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owners[address] {
		if connected {
			m.connected(o)
		} else {
			m.failed(o)
		}
	}
}

func (m *Monitor) connected(o owner) {
	now, tracker := time.Now(), m.services[o.service]
	cutFor, _ := tracker.CutOffFor(now)
	if tracker.Connected(now, o.endpoint) {
		m.log.Info("replicas are reached again", "service", o.service, "replica", o.endpoint, "cut_off_ms", cutFor.Milliseconds())
		m.recheckAll = true
		m.wakeVerification()
	}
}

func (m *Monitor) failed(o owner) {
	now, tracker := time.Now(), m.services[o.service]
	if tracker.Failed(now, o.endpoint) {
		m.log.Warn("no replica is reached", "service", o.service, "last_tried", o.endpoint)
		m.doubtOthers(o.service)
	}
	if tracker.MustVerify(now) {
		m.wakeVerification()
	}
}

// doubtOthers lets the other services be verified. The caller holds the lock.
func (m *Monitor) doubtOthers(service string) {
	for name, tracker := range m.services {
		if name != service {
			tracker.Doubt()
		}
	}
	m.wakeVerification()
}

func (m *Monitor) wakeVerification() {
	select {
	case m.verify <- struct{}{}:
	default: // a verification is due already
	}
}

// CutOff reports whether this node reaches no endpoint of a service.
func (m *Monitor) CutOff(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	tracker := m.services[service]
	if tracker == nil {
		return false
	}
	_, cutOff := tracker.CutOffFor(time.Now())
	return cutOff
}

// CutOffFromAll reports whether this node reaches no endpoint of any service.
func (m *Monitor) CutOffFromAll() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, tracker := range m.services {
		if _, cutOff := tracker.CutOffFor(now); !cutOff {
			return false
		}
	}
	return len(m.services) > 0
}

// CutOffMillis returns the services of which no endpoint is reached, with the time for which none
// has been reached.
func (m *Monitor) CutOffMillis() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, all := time.Now(), map[string]int64{}
	for service, tracker := range m.services {
		if cutFor, cutOff := tracker.CutOffFor(now); cutOff {
			all[service] = cutFor.Milliseconds()
		}
	}
	return all
}

// Run probes endpoints of services that are or may be out of reach, until the context ends. The
// prober's connections are reported to ObserveDial.
func (m *Monitor) Run(ctx context.Context, prober *connprobe.Prober) {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		var addresses []string
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			addresses = append(m.toVerify(time.Now()), m.toRecheck(reach.RecheckReplicas)...)
		case <-m.verify:
			addresses = append(m.toVerify(time.Now()), m.toRecheckAll()...)
		}
		if len(addresses) > 0 {
			prober.FindUnreachable(ctx, connprobe.ReasonCutOff, addresses)
		}
	}
}

// toVerify returns the addresses to probe now in order to find out whether services are out of
// reach.
func (m *Monitor) toVerify(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, service := range slices.Sorted(maps.Keys(m.services)) {
		list = m.appendAddresses(list, m.services[service].ToVerify(now))
	}
	return list
}

// toRecheckAll returns the addresses to probe because the node reaches a service again.
func (m *Monitor) toRecheckAll() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.recheckAll {
		return nil
	}
	m.recheckAll = false
	var list []string
	for _, tracker := range m.services {
		list = m.appendAddresses(list, tracker.ToRecheck(reach.RecheckReplicas))
	}
	return list
}

// toRecheck returns up to n addresses of services out of reach. The services take turns.
func (m *Monitor) toRecheck(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var cutOff []string
	for service, tracker := range m.services {
		if _, is := tracker.CutOffFor(now); is {
			cutOff = append(cutOff, service)
		}
	}
	if len(cutOff) == 0 {
		return nil
	}
	slices.Sort(cutOff)
	first, found := slices.BinarySearch(cutOff, m.lastRechecked)
	if found {
		first++
	}
	var list []string
	each := max(1, n/len(cutOff))
	for i := 0; i < len(cutOff) && len(list) < n; i++ {
		m.lastRechecked = cutOff[(first+i)%len(cutOff)]
		list = m.appendAddresses(list, m.services[m.lastRechecked].ToRecheck(each))
	}
	return list
}

func (m *Monitor) appendAddresses(list, endpoints []string) []string {
	for _, endpoint := range endpoints {
		list = append(list, m.addresses[endpoint])
	}
	return list
}
