// Package document holds the environment document: the one text by which
// operators say which services, endpoints and teams an environment has.
package document

import "slices"

// Format is the version of the text that this program reads.
const Format = 1

// Kinds of service.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Document is one environment as the operators want it.
type Document struct {
	Format         int             `json:"format"`
	Environment    string          `json:"environment"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	Accelerators   []Accelerator   `json:"accelerators,omitempty"`
	Links          []Link          `json:"links,omitempty"`
	Endpoints      []Endpoint      `json:"endpoints"`
	Services       []Service       `json:"services"`
	Teams          []Team          `json:"teams"`
	Policy         Policy          `json:"policy"`
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Accelerator is a kind of accelerator, by which the planner cuts layers.
type Accelerator struct {
	Name string `json:"name"`
	// LayerMicros is the time of one layer for one token.
	LayerMicros float64 `json:"layer_us"`
	// MemoryMegabytes is what an engine has for layers.
	MemoryMegabytes int `json:"memory_mb"`
}

// Link is the time of a token's activations between two failure domains, or
// within one.
type Link struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	Micros float64 `json:"us"`
}

// Endpoint is one engine or one instance of a plain service.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Accelerator is the kind of accelerator, empty for plain services.
	Accelerator string `json:"accelerator,omitempty"`
	// ChecksFencing says that the endpoint refuses orders with an old
	// placement version.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ChecksKeys says that the endpoint itself places an order with a known
	// idempotency key at most once.
	ChecksKeys bool `json:"checks_keys,omitempty"`
}

// Service is what callers name: a model or a plain service.
type Service struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"`
	Model *Model `json:"model,omitempty"`
	Plain *Plain `json:"plain,omitempty"`
}

// Model says how many layers a model has and which endpoints serve it.
type Model struct {
	Layers int `json:"layers"`
	// LayerMegabytes is the accelerator memory of one layer's weights.
	LayerMegabytes int `json:"layer_megabytes,omitempty"`
	// Version names the weights that engines are to hold; empty if they have no
	// names. A new one is rolled out replica by replica.
	Version string `json:"version,omitempty"`
	// RolloutPart is the most of a failure domain's replicas that a roll-out may
	// keep from serving at once; zero means DefaultRolloutPart.
	RolloutPart float64 `json:"rollout_part,omitempty"`
	// Adapters are the adapters that requests may ask for.
	Adapters []Adapter `json:"adapters,omitempty"`
	Replicas []Replica `json:"replicas"`
}

// DefaultRolloutPart leaves at least half of a failure domain's replicas serving.
const DefaultRolloutPart = 0.5

// Rollout is the part of a failure domain that a roll-out may take.
func (m *Model) Rollout() float64 {
	if m.RolloutPart == 0 {
		return DefaultRolloutPart
	}
	return m.RolloutPart
}

// Adapter is a small addition to a model's weights. Requests ask for it as
// "model:adapter".
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Bytes is its size over all layers.
	Bytes int `json:"bytes"`
	// Replicas is how many replicas of each failure domain are to hold it, as far
	// as there is room.
	Replicas int `json:"replicas"`
	// Teams are those whose requests use it if they ask for none.
	Teams []string `json:"teams,omitempty"`
}

// Adapter returns a model's adapter by name, or nil.
func (m *Model) Adapter(name string) *Adapter {
	for i := range m.Adapters {
		if m.Adapters[i].Name == name {
			return &m.Adapters[i]
		}
	}
	return nil
}

// AdapterOf returns the name of the adapter that a team's requests use if they ask
// for none; empty if there is none.
func (m *Model) AdapterOf(team string) string {
	for _, a := range m.Adapters {
		if slices.Contains(a.Teams, team) {
			return a.Name
		}
	}
	return ""
}

// Replica is one chain of engines that together hold every layer. A stage
// without layers leaves the cut to the planner; all stages of a replica name
// their layers, or none does.
type Replica struct {
	Name   string  `json:"name"`
	Stages []Stage `json:"stages"`
}

// Stage is one engine of a replica. Layers holds the first and last layer.
type Stage struct {
	Endpoint string `json:"endpoint"`
	Layers   []int  `json:"layers,omitempty"`
}

// Plain lists the endpoints of a plain service and the calls that may not be
// repeated.
type Plain struct {
	Endpoints []string `json:"endpoints"`
	// NonIdempotent lists the calls that may be placed at most once.
	NonIdempotent []Call `json:"non_idempotent,omitempty"`
}

// Call matches requests of a plain service: a method and a path prefix below
// the service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Team is a set of callers that share keys, a weight and a limit.
type Team struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// TokensPerSecond limits the team's work over the whole environment; zero
	// means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// KeySHA256 holds the hex SHA-256 of each of the team's keys.
	KeySHA256 []string `json:"key_sha256"`
	// Services lists what the team may call; empty means all.
	Services []string `json:"services,omitempty"`
}

// Policy holds the environment's figures; zero values take the defaults.
type Policy struct {
	// QueueDeadlineMillis is the longest a request without a deadline of its
	// own may wait for an endpoint.
	QueueDeadlineMillis int `json:"queue_deadline_ms,omitempty"`
	// FirstTokenMillis is the longest an endpoint may take to its first token
	// before the attempt counts as stalled.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// TokenStallMillis is the longest gap between tokens before a stage counts
	// as stalled.
	TokenStallMillis int `json:"token_stall_ms,omitempty"`
	// RetryBudget is the share of successes that may be spent on retries.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// ConcurrentPerReplica is how many streams one replica is given at once.
	ConcurrentPerReplica int `json:"concurrent_per_replica,omitempty"`
	// WeightMegabytesPerSecond is the weight store's rate, which loads keep to;
	// zero means no limit.
	WeightMegabytesPerSecond int `json:"weight_mb_per_s,omitempty"`
	// EntryValidSeconds is how long callers keep an entry answer.
	EntryValidSeconds int `json:"entry_valid_s,omitempty"`
}
