// Package ruleset holds the operator's configuration as the data path reads it:
// which request goes to which service, under which bounds, for which team.
//
// A Ruleset is immutable once it is built. Its source, an adapter, builds one for
// each version and hands it to the data path whole, so that no request is ever
// judged by parts of two versions.
package ruleset

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated.
type RouteKind uint8

const (
	// NonIdempotent must not run more than once for one request.
	NonIdempotent RouteKind = iota
	// Idempotent may run any number of times.
	Idempotent
	// Stream answers with events; Route.Resumable says whether it may be repeated.
	Stream
)

// String names the kind for log lines.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "repeatable"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests below a path to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams go on after a given event at any replica.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// LatencyObjective is the time in which an answer, or its first event, is on time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events that is on time.
	MaxEventGap time.Duration
	// MaxReplicas is how many replicas may be handed one request.
	MaxReplicas int
	// Priority ranks the route's requests, 0 first.
	Priority int
	// WeightedServices is never empty.
	WeightedServices []WeightedService
}

// Idempotent says whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is what stands behind routes.
type Service struct {
	Name string
	// MaxConns bounds the connections to one replica over all callers.
	MaxConns int
	// Model is nil for plain services.
	Model *Model
}

// Model is what the operator says of a model and its engines.
type Model struct {
	// Layers is how many layers each token runs through.
	Layers int
	// LayerMB is the memory of one layer's weights, in megabytes.
	LayerMB float64
	// KVBytesPerTokenLayer is the memory of one token in one layer.
	KVBytesPerTokenLayer float64
	// TransferBytesPerToken is what one token passes on from a replica to the next, and
	// LinkBytesPerSecond what the links between failure domains carry for all; zero for
	// no bound.
	TransferBytesPerToken, LinkBytesPerSecond float64
	// StepMillis is the time of one step through all layers on a card of pace 1.
	StepMillis float64
	// PrefillTokensPerSecond is how many prompt tokens a card of ReadFactor 1 reads a second with all
	// layers; zero if it is not told.
	PrefillTokensPerSecond float64
	// LoadTime is the time to load all layers' weights onto one replica.
	LoadTime time.Duration
	// Cards are the kinds of accelerators by name.
	Cards map[string]Card
}

// bytesPerMB: the operator gives memory in units of a million bytes.
const bytesPerMB = 1e6

// KVMegabytesPerTokenLayer is the memory of one token in one layer, in megabytes.
func (m *Model) KVMegabytesPerTokenLayer() float64 { return m.KVBytesPerTokenLayer / bytesPerMB }

// PrefillMillis is the time in which a card reads one token of a prompt with one layer; zero
// if it is not told.
func (m *Model) PrefillMillis(card Card) float64 {
	if m.PrefillTokensPerSecond <= 0 || m.Layers <= 0 {
		return 0
	}
	return 1000 / m.PrefillTokensPerSecond / float64(m.Layers) * card.PrefillTimeFactor
}

// Card is a kind of accelerator.
type Card struct {
	// MemoryMB holds weights and requests, in megabytes.
	MemoryMB float64
	// StepTimeFactor multiplies the time of a step, PrefillTimeFactor that of reading a prompt.
	StepTimeFactor, PrefillTimeFactor float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int
}

// Team is a tenant of the fleet.
type Team struct {
	Name string
	// Priority goes before the route's; nil means that the team has none.
	Priority *int
}

// Ruleset is one version of the operator's configuration.
type Ruleset struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string][]*Route
	byKey    map[string]*Team
}

const (
	// DefaultTimeout holds where a route has none: some times what the longest usual
	// streams last.
	DefaultTimeout = 20 * time.Second
	// DefaultMaxBodyBytes holds where the operator sets no limit: a long prompt is some
	// hundred kilobytes, and a node holds the bodies of all requests underway.
	DefaultMaxBodyBytes = 4 << 20
)

// settle fills in what the operator left out. Without an objective a request is on time
// if it is answered at all; a route without a bound on replicas may use one.
func (r *Route) settle() {
	if r.Timeout <= 0 {
		r.Timeout = DefaultTimeout
	}
	if r.LatencyObjective <= 0 {
		r.LatencyObjective = r.Timeout
	}
	r.MaxReplicas = max(1, r.MaxReplicas)
}

// Build indexes a configuration, with defaults for what it leaves out.
func Build(version int64, limits Limits, services []*Service, routes []*Route, keys map[string]*Team) *Ruleset {
	r := &Ruleset{
		Version:  version,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		byHost:   make(map[string][]*Route),
		byKey:    keys,
	}
	if r.Limits.MaxBodyBytes <= 0 {
		r.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	for _, s := range services {
		r.services[s.Name] = s
	}
	for _, route := range routes {
		route.settle()
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// Match returns the route of a host and path: of those whose prefix begins the
// path, the one with the longest. It returns nil if there is none.
func (r *Ruleset) Match(host, path string) *Route {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Team returns the holder of a key, or nil.
func (r *Ruleset) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return r.byKey[key]
}

// Service returns a service by name, or nil.
func (r *Ruleset) Service(name string) *Service {
	return r.services[name]
}

// Services returns all services, ordered by name.
func (r *Ruleset) Services() []*Service {
	list := make([]*Service, 0, len(r.services))
	for _, s := range r.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// PickService chooses the service of one request; draw is uniform in [0,1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	point := draw * float64(total)
	for _, s := range r.WeightedServices {
		point -= float64(s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
