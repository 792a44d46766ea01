package balance

import (
	"cmp"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// Defaults of Config; doc.go states the reasons for them.
const (
	DefaultSubsetSize         = 32
	DefaultSpillDomains       = 2
	DefaultSpillThreshold     = 0.9
	DefaultSpillMargin        = 0.1
	DefaultAffinityLoadFactor = 1.25
	DefaultAffinityFloor      = 0.5
	DefaultSlowStart          = 15 * time.Second
	DefaultBackoff            = 250 * time.Millisecond
)

const (
	// nearShare is the share of the subset taken from the nearest failure domain.
	nearSubsetShare = 0.75
	// useAllFactor times the subset size is the number of replicas up to which a
	// node uses all of them. Leaving out only a few saves little and makes the
	// cover uneven.
	useAllFactor = 2
	// minRamp is the share of its capacity with which a new replica starts when
	// most replicas are old.
	minInitialFraction = 0.1
	// maxDraws bounds the random draws for one candidate, so that the cost of Pick
	// does not grow with the number of excluded replicas and replicas in backoff.
	// After that many draws Pick scans the replicas.
	maxCandidateTries = 4
	// maxRingReplicas bounds the replicas that are tried for one prefix.
	maxRingReplicas = 4
	// leavingRefusalTTL is how long an endpoint is avoided after it refused a
	// request because it is shutting down. A shutdown that takes longer costs one
	// refused request a minute.
	leavingRefusalTTL = time.Minute
	// ringPointsPerReplica gives each replica a nearly equal part of the prefix
	// ring.
	ringPointsPerReplica = 32
	// switchMargin is the number of requests by which the second candidate must be
	// less loaded than the first. Smaller differences are noise, and round robin
	// spreads requests more evenly than choices made on noise.
	switchMargin = 1.0
	// averageGain is the gain of the moving averages of costs and times.
	movingAverageGain = 0.02
)

// Config configures a Balancer. Zero values take the defaults.
type Config struct {
	// Node is the ID of the node on which the Balancer runs.
	Node string
	// FailureDomain is that of the node.
	FailureDomain string
	// NearDomains lists other failure domains, nearest first. Domains that are not
	// listed follow in an order that depends on the node's own domain.
	NearDomains []string
	// Seed seeds the random choices. Each node needs a different one.
	Seed uint64
	// SubsetSize is the approximate number of replicas that the node uses. The
	// subset may be larger, so that every replica is used by at least one node.
	SubsetSize int
	// SpillDomains is the number of other failure domains that the subset includes.
	SpillDomains int
	// SpillThreshold is the load per slot from which a request may leave the
	// nearest failure domain. SpillMargin is by how much the score elsewhere must
	// be lower.
	SpillThreshold float64
	SpillMargin    float64
	// AffinityLoadFactor and AffinityFloor bound the load up to which a replica
	// accepts requests for its own prefixes: AffinityLoadFactor times the mean load
	// or AffinityFloor of its slots, whichever is larger.
	AffinityLoadFactor float64
	AffinityFloor      float64
	// SlowStart is how long the share of a new replica takes to grow to the full
	// one.
	SlowStart time.Duration
	// Backoff is how long a replica is avoided after it refused a request because
	// it was full.
	Backoff time.Duration
	// Health configures the ejection of outliers.
	Health health.Config
}

func withDefaults(cfg Config) Config {
	cfg.SubsetSize = cmp.Or(cfg.SubsetSize, DefaultSubsetSize)
	cfg.SpillDomains = cmp.Or(cfg.SpillDomains, DefaultSpillDomains)
	cfg.SpillThreshold = cmp.Or(cfg.SpillThreshold, DefaultSpillThreshold)
	cfg.SpillMargin = cmp.Or(cfg.SpillMargin, DefaultSpillMargin)
	cfg.AffinityLoadFactor = cmp.Or(cfg.AffinityLoadFactor, DefaultAffinityLoadFactor)
	cfg.AffinityFloor = cmp.Or(cfg.AffinityFloor, DefaultAffinityFloor)
	cfg.SlowStart = cmp.Or(cfg.SlowStart, DefaultSlowStart)
	cfg.Backoff = cmp.Or(cfg.Backoff, DefaultBackoff)
	cfg.Health.Seed = cmp.Or(cfg.Health.Seed, cfg.Seed)
	return cfg
}
