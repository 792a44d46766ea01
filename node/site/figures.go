package site

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// results of a store call, for metrics.
const (
	callDone   = "done"
	callFailed = "failed"
)

// counts are what this node has done since its start, by name. Safe for concurrent use.
type counts struct {
	mu    sync.Mutex
	total map[string]int64
	// told are the counts at the last line of the log, at when it was written.
	told map[string]int64
	at   time.Time
}

// countsEvery is between two lines of the log with counts.
const countsEvery = 5 * time.Second

func (c *counts) set(name string, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total == nil {
		c.total = map[string]int64{}
	}
	c.total[name] = to
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total == nil {
		c.total = map[string]int64{}
	}
	c.total[name]++
}

func (c *counts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.total)
}

// since returns the counts since the last line, or none before the next one is due.
func (c *counts) since(now time.Time, every time.Duration) (grown map[string]int64, over time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if over = now.Sub(c.at); over < every {
		return nil, over
	}
	grown = map[string]int64{}
	for name, n := range c.total {
		if more := n - c.told[name]; more > 0 {
			grown[name] = more
		}
	}
	c.told, c.at = maps.Clone(c.total), now
	return grown, over
}

// storeCalled counts a call to the store.
func (n *Node) storeCalled(kind string, err error) {
	result := callDone
	if err != nil {
		result = callFailed
	}
	n.metrics.StoreCall(kind, result)
	n.storeCalls.add(kind + "_" + result)
}

// tellCounts logs what was done since the last lines, if there was anything.
func (n *Node) tellCounts(every time.Duration) {
	for why, made := range n.prober.ProbeCounts() {
		n.connections.set("probe_"+string(why), made)
	}
	for reason, total := range n.services.withheld() {
		n.connections.set("withheld_"+reason, total)
	}
	n.connections.set("all", n.pool.OpenedConns())
	n.tellGrown("store calls", &n.storeCalls, every)
	n.tellGrown("connections opened to endpoints", &n.connections, every)
}

func (n *Node) tellGrown(what string, c *counts, every time.Duration) {
	grown, over := c.since(time.Now(), every)
	if len(grown) == 0 {
		return
	}
	line := []any{"over_ms", over.Milliseconds()}
	for _, name := range slices.Sorted(maps.Keys(grown)) {
		line = append(line, name, grown[name])
	}
	n.log.Info(what, line...)
}

// gauge brings the figures of state up to date; it is called after each read of the
// store.
func (n *Node) gauge() {
	n.tellCounts(countsEvery)
	n.metrics.ProofAge(n.Age())
	if rules := n.rules.Load(); rules != nil {
		n.metrics.Version(rules.Version)
	}
	n.metrics.Underway(n.underway.Load())
	n.metrics.Connections(n.pool.OpenConns())
	n.metrics.AnswerMemory(n.answers.Used())
	n.metrics.Members("live", len(n.members.get()))
	n.gaugeReplicas()
	n.gaugeLimits()
	n.gaugeLoads()
	for _, service := range n.serviceNames() {
		n.metrics.CutOff(service, n.reach.CutOff(service))
	}
	for service, model := range n.services.allModels() {
		n.guard.Gauge(service)
		waiting, underway := model.RequestCounts()
		n.metrics.Queue(service, waiting, underway)
		for domain, used := range model.PeakUtilization() {
			n.metrics.Room(service, domain, used)
		}
	}
}

// replicaStates are those that replicas are counted in.
var replicaStates = []string{"ready", "draining", "empty", stateAway, stateForeignLayers}

// stateForeignLayers is of those that state layers which the configuration in force does not have;
// they are counted in their other state too.
const stateForeignLayers = "foreign_layers"

// stateAway is of those that turn requests away; they are counted in their other state too.
const stateAway = "turns_away"

// countReplicas counts the replicas of each service by state.
func (n *Node) countReplicas() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, service := range n.serviceNames() {
		counts[service] = map[string]int{}
	}
	modelLayers := n.modelLayers()
	leaving := n.services.leavingReplicas()
	for _, r := range n.replicas() {
		state := "ready"
		switch {
		case r.Draining, leaving[r.ID]:
			state = "draining"
		case r.CardKind != "" && r.Holds.Empty():
			state = "empty"
		}
		if counts[r.Service] == nil {
			continue
		}
		counts[r.Service][state]++
		if model, ok := modelLayers[r.Service]; ok && !model.Covers(r.Holds) {
			counts[r.Service][stateForeignLayers]++
		}
	}
	for service, model := range n.services.allModels() {
		if away := len(model.BackedOff()); away > 0 && counts[service] != nil {
			counts[service][stateAway] = away
		}
	}
	return counts
}

// modelLayers are the layers of each service that runs a model.
func (n *Node) modelLayers() map[string]layers.Span {
	all := map[string]layers.Span{}
	rules := n.rules.Load()
	if rules == nil {
		return all
	}
	for _, service := range rules.Services() {
		if service.Model != nil {
			all[service.Name] = layers.Span{To: service.Model.Layers}
		}
	}
	return all
}

func (n *Node) gaugeReplicas() {
	n.taking.Lock()
	passedOver := len(n.poll.passedOver)
	n.taking.Unlock()
	n.metrics.EntriesPassedOver(passedOver)
	for service, counts := range n.countReplicas() {
		for _, state := range replicaStates {
			n.metrics.Replicas(service, state, counts[state])
		}
	}
}

// gaugeLimits sets the figures of what replicas state about the requests that they want.
func (n *Node) gaugeLimits() {
	for service, limits := range n.services.allLimits() {
		inForce := limits.InForce()
		sum := 0.0
		for _, s := range inForce {
			sum += s.RequestsPerSecond
		}
		n.metrics.RateLimits(service, len(inForce), sum)
		n.metrics.Pushbacks(service, len(limits.Pushbacks()))
	}
}

func (n *Node) serviceNames() []string {
	var names []string
	if rules := n.rules.Load(); rules != nil {
		for _, s := range rules.Services() {
			names = append(names, s.Name)
		}
	}
	return names
}

// metricsAddress is where the figures are served beside the operators' door, for
// collectors that know a port only; not valid if there is none.
func (n *Node) metricsAddress() netip.AddrPort {
	if n.MetricsPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(n.settings.IP, n.MetricsPort)
}

func (n *Node) metricsDoor() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())
	return mux
}
