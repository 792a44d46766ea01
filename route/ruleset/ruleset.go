// Package ruleset holds the operator's configuration for the data path: which requests go to
// which services, the limits of these requests, and the teams that may send them.
//
// A Ruleset is immutable. The platform adapter builds a new Ruleset for each version of the
// configuration, so that each request is handled by a single version.
package ruleset

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// RouteKind says whether the requests of a route may be repeated.
type RouteKind uint8

const (
	// NonIdempotent requests must not run more than once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests get a stream of events as response. Route.Resumable says whether
	// they may be repeated.
	Stream
)

// String returns the name of the kind in log lines.
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

// WeightedService is a service that receives a fraction of a route's requests: its Weight
// divided by the sum of the weights of all services of the route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams can be continued after a given event, at any replica.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time that a caller waits for the complete response.
	Timeout time.Duration
	// LatencyObjective is the longest time to the complete response, or to the first event
	// of a stream, with which a request counts as on time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream with which the
	// stream counts as on time.
	MaxEventGap time.Duration
	// MaxReplicas is the maximum number of replicas to which one request may be sent.
	MaxReplicas int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// WeightedServices is never empty.
	WeightedServices []WeightedService
}

// Idempotent reports whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service receives the requests of one or more routes.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections to one replica, over all callers.
	MaxConns int
	// Model is nil for plain services.
	Model *Model
	// LoadControl is set by Build for a model service whose stream routes have different
	// priorities: the operator has said which requests go first when not all can be served.
	LoadControl bool
	// LatencyObjective is set by Build to the shortest latency objective of these routes. That of
	// other routes is for the whole answer and not for the first event.
	LatencyObjective time.Duration
}

// Model describes a model and the engines that run it.
type Model struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer's weights, in megabytes.
	LayerMB float64
	// KVBytesPerTokenLayer is the KV cache memory of one token in one layer, in bytes.
	KVBytesPerTokenLayer float64
	// TransferBytesPerToken is the number of bytes that one replica sends to the next per
	// token. LinkBytesPerSecond is the bandwidth that all requests share on the links
	// between failure domains. Zero LinkBytesPerSecond means that the bandwidth is not
	// limited.
	TransferBytesPerToken, LinkBytesPerSecond float64
	// StepMillis is the time of one decode step through all layers on a card whose kind
	// has StepTimeFactor 1, in milliseconds.
	StepMillis float64
	// PrefillTokensPerSecond is the prefill rate of a card that holds all layers and whose
	// kind has PrefillTimeFactor 1. Zero means that the rate is unknown.
	PrefillTokensPerSecond float64
	// LoadTime is the time to load all layers' weights onto one replica.
	LoadTime time.Duration
	// CardKinds holds the kinds of accelerators by name.
	CardKinds map[string]CardKind
}

// bytesPerMB is the unit in which the operator's configuration gives memory sizes.
const bytesPerMB = 1e6

// KVMegabytesPerTokenLayer returns KVBytesPerTokenLayer in megabytes.
func (m *Model) KVMegabytesPerTokenLayer() float64 { return m.KVBytesPerTokenLayer / bytesPerMB }

// PrefillMillis returns the time in milliseconds in which a card of the given kind prefills
// one token through one layer. The result is zero if the prefill rate is unknown.
func (m *Model) PrefillMillis(kind CardKind) float64 {
	if m.PrefillTokensPerSecond <= 0 || m.Layers <= 0 {
		return 0
	}
	return 1000 / m.PrefillTokensPerSecond / float64(m.Layers) * kind.PrefillTimeFactor
}

// CardKind describes a kind of accelerator card.
type CardKind struct {
	// MemoryMB is the memory of one card for weights and KV cache, in megabytes.
	MemoryMB float64
	// StepTimeFactor and PrefillTimeFactor multiply the decode step time and the prefill
	// time of the model. Larger factors mean slower cards.
	StepTimeFactor, PrefillTimeFactor float64
}

// Limits holds the limits on callers' requests.
type Limits struct {
	MaxBodyBytes int
}

// Team is a group of callers, identified by the team's API keys.
type Team struct {
	Name string
	// Priority goes before the priority of the route unless it is nil.
	Priority *int
}

// Ruleset is one version of the operator's configuration.
type Ruleset struct {
	Version        int64
	Limits         Limits
	servicesByName map[string]*Service
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
	// firstRank holds, for each priority by which requests are ordered first, the rank of the
	// most urgent requests with it. routeRank holds, for each priority of routes, how many
	// priorities of routes are more urgent. teamPriorities are the priorities that teams have.
	firstRank, routeRank map[int]int
	teamPriorities       map[int]bool
}

// priorities orders requests: by the team's priority, or the route's if the team has none, then by
// the route's.
type priorities struct{ first, route int }

func prioritiesOf(team *Team, route *Route) priorities {
	if team != nil && team.Priority != nil {
		return priorities{*team.Priority, route.Priority}
	}
	return priorities{route.Priority, route.Priority}
}

const (
	// DefaultTimeout applies to routes without a timeout. It is several times the duration
	// of the longest usual streams.
	DefaultTimeout = 20 * time.Second
	// DefaultMaxBodyBytes applies if the operator sets no limit on the size of a request
	// body. The default allows long prompts, which have some hundred kilobytes. The limit
	// must be small because a node holds the bodies of all requests in flight in memory.
	DefaultMaxBodyBytes = 4 << 20
)

// applyDefaults sets the fields that the operator left out. Without a latency objective, a
// request counts as on time if it gets a response before the timeout. Without MaxReplicas,
// a request is sent to one replica only.
func (r *Route) applyDefaults() {
	if r.Timeout <= 0 {
		r.Timeout = DefaultTimeout
	}
	if r.LatencyObjective <= 0 {
		r.LatencyObjective = r.Timeout
	}
	r.MaxReplicas = max(1, r.MaxReplicas)
}

// Build returns the Ruleset of a configuration. It sets the defaults in routes and uses
// the given services, routes and teams without copying them. teamsByKey holds the teams by
// API key.
func Build(version int64, limits Limits, services []*Service, routes []*Route, teamsByKey map[string]*Team) *Ruleset {
	r := &Ruleset{
		Version:        version,
		Limits:         limits,
		servicesByName: make(map[string]*Service, len(services)),
		routesByHost:   make(map[string][]*Route),
		teamsByKey:     teamsByKey,
	}
	if r.Limits.MaxBodyBytes <= 0 {
		r.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	for _, s := range services {
		r.servicesByName[s.Name] = s
	}
	for _, route := range routes {
		route.applyDefaults()
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], route)
	}
	r.setLoadControl(routes)
	r.setRanks(routes)
	for _, list := range r.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// setLoadControl sets Service.LoadControl and Service.LatencyObjective.
func (r *Ruleset) setLoadControl(routes []*Route) {
	firstPriority := map[*Service]int{}
	for _, route := range routes {
		for _, weighted := range route.WeightedServices {
			s := r.servicesByName[weighted.Service]
			if s == nil || s.Model == nil || weighted.Weight <= 0 || route.Kind != Stream {
				continue
			}
			priority, known := firstPriority[s]
			if !known {
				firstPriority[s], s.LatencyObjective = route.Priority, route.LatencyObjective
				continue
			}
			s.LoadControl = s.LoadControl || route.Priority != priority
			s.LatencyObjective = min(s.LatencyObjective, route.LatencyObjective)
		}
	}
}

// setRanks numbers the pairs of priorities that requests can have, the most urgent first. Only the
// numbers of the priorities are kept: there may be thousands of routes and teams, and millions of
// pairs.
func (r *Ruleset) setRanks(routes []*Route) {
	r.firstRank, r.routeRank, r.teamPriorities = map[int]int{}, map[int]int{}, map[int]bool{}
	for _, route := range routes {
		r.firstRank[route.Priority], r.routeRank[route.Priority] = 0, 0
	}
	for _, team := range r.teamsByKey {
		if team.Priority != nil {
			r.firstRank[*team.Priority] = 0
			r.teamPriorities[*team.Priority] = true
		}
	}
	for rank, priority := range slices.Sorted(maps.Keys(r.routeRank)) {
		r.routeRank[priority] = rank
	}
	next := 0
	for _, priority := range slices.Sorted(maps.Keys(r.firstRank)) {
		r.firstRank[priority] = next
		if r.teamPriorities[priority] {
			next += len(r.routeRank) // the teams' requests on each route
		} else {
			next++
		}
	}
}

// Rank returns the place of a team's requests on a route in the order of priorities, from 0 for the
// most urgent. The priority of the team goes before that of the route. Among teams of the same
// priority, that of the route decides.
func (r *Ruleset) Rank(team *Team, route *Route) int {
	p := prioritiesOf(team, route)
	if !r.teamPriorities[p.first] {
		return r.firstRank[p.first]
	}
	return r.firstRank[p.first] + r.routeRank[p.route]
}

// Match returns the route of the host with the longest prefix that matches the path, or nil if
// no route matches.
func (r *Ruleset) Match(host, path string) *Route {
	for _, route := range r.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Team returns the team that an API key belongs to, or nil if the key is empty or unknown.
func (r *Ruleset) Team(apiKey string) *Team {
	if apiKey == "" {
		return nil
	}
	return r.teamsByKey[apiKey]
}

// Service returns a service by name, or nil if the configuration has no such service.
func (r *Ruleset) Service(name string) *Service {
	return r.servicesByName[name]
}

// Services returns all services, ordered by name.
func (r *Ruleset) Services() []*Service {
	list := make([]*Service, 0, len(r.servicesByName))
	for _, s := range r.servicesByName {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// PickService chooses the service of one request by the weights. random must be uniformly
// distributed in [0,1).
func (r *Route) PickService(random float64) string {
	totalWeight := 0.0 // a sum of integers may overflow
	for _, s := range r.WeightedServices {
		totalWeight += float64(s.Weight)
	}
	remaining := random * totalWeight
	last := r.WeightedServices[len(r.WeightedServices)-1]
	for _, s := range r.WeightedServices {
		if s.Weight <= 0 {
			continue
		}
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
		last = s // rounding may leave something of remaining
	}
	return last.Service
}
