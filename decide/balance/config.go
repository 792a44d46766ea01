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
	// nearSubsetShare is the share of the subset that is taken from the nearest
	// failure domain.
	nearSubsetShare = 0.75
	// A node uses all replicas of a service that has at most useAllReplicasFactor
	// times Config.SubsetSize replicas. Leaving out only a few replicas saves little
	// and gives replicas unequal numbers of nodes.
	useAllReplicasFactor = 2
	// A new replica begins its slow start with at least minInitialCapacityFraction
	// of its capacity. It begins with more if most of the capacity of the subset
	// is in slow start; see updateInitialCapacityFraction.
	minInitialCapacityFraction = 0.1
	// maxCandidateTries bounds how many replicas are tried one by one to select a
	// candidate. A try fails if the replica is excluded or in backoff. The bound
	// keeps the cost of the tries independent of how many replicas are excluded or in
	// backoff.
	// After maxCandidateTries failed tries, Pick scans the usable replicas.
	maxCandidateTries = 4
	// maxRingReplicas bounds the number of replicas on the hash ring that are tried
	// for one request.
	maxRingReplicas = 4
	// leavingAnswerTTL is how long a replica is avoided after an answer said that it is
	// shutting down. If the shutdown takes longer, the replica gets one request a minute.
	leavingAnswerTTL = time.Minute
	// ringPointsPerReplica is the number of points of each replica on the hash
	// ring. With 32 points each replica owns a nearly equal part of the prefixes.
	ringPointsPerReplica = 32
	// switchMargin is a difference in load, in requests. Pick compares the next
	// replica in round-robin order with a random replica. The random one is picked
	// only if its load is lower by more than switchMargin. Smaller differences are
	// noise. Round robin spreads requests more evenly than choices based on noise.
	switchMargin = 1.0
	// movingAverageGain is the weight of a new sample in the moving averages of
	// request costs and answer times.
	movingAverageGain = 0.02
)

// Config configures a Balancer. A field that is zero takes its default.
type Config struct {
	// Node is the ID of the node on which the Balancer runs.
	Node string
	// FailureDomain is the failure domain of the node.
	FailureDomain string
	// DomainsByNearness lists other failure domains, nearest first. Domains that are not
	// listed follow in an order that depends on the node's own domain.
	DomainsByNearness []string
	// Seed seeds the random choices. Each node needs a different seed.
	Seed uint64
	// SubsetSize is the approximate number of replicas that the node uses. The
	// subset is larger if some replicas would otherwise be used by no node.
	SubsetSize int
	// SpillDomains is the number of failure domains in the subset besides the
	// nearest one.
	SpillDomains int
	// SpillThreshold is a utilization. A request may spill if the better one of its
	// two candidates in the nearest failure domain has at least this utilization.
	SpillThreshold float64
	// SpillMargin is a difference of scores. The score of a replica in another
	// failure domain must be lower by more than SpillMargin for a request to spill.
	SpillMargin float64
	// AffinityLoadFactor and AffinityFloor set the utilization up to which a replica
	// accepts requests by their prefix. The limit is AffinityLoadFactor times the
	// mean utilization of the replica's tier, but at least AffinityFloor.
	AffinityLoadFactor float64
	AffinityFloor      float64
	// SlowStart is the time in which the usable fraction of a new replica's
	// capacity grows to 1.
	SlowStart time.Duration
	// Backoff is how long a replica is avoided after it refused a request because
	// it was full.
	Backoff time.Duration
	// Health configures the ejection of slow and failing replicas.
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
