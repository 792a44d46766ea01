package balance

import (
	"cmp"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// Defaults of Config; doc.go gives their grounds.
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
	// nearShare is the part of the subset in the nearest failure domain.
	nearShare = 0.75
	// useAllFactor times the subset size is up to where a node uses all replicas:
	// to leave out a few of them saves little and makes the cover uneven.
	useAllFactor = 2
	// minRamp is the part of its capacity with which a newcomer among many old
	// replicas starts.
	minRamp = 0.1
	// maxDraws bounds the draws for one candidate, so that Pick costs the same
	// however many replicas are excluded or busy; then they are searched.
	maxDraws = 4
	// maxRingReplicas bounds the replicas tried for a prefix.
	maxRingReplicas = 4
	// leavingRefusalTTL is how long an endpoint that refused a request as it leaves is
	// left alone; a shutdown that takes longer costs a refused request a minute.
	leavingRefusalTTL = time.Minute
	// ringPointsPerReplica per replica make its arcs of the prefix ring about even.
	ringPointsPerReplica = 32
	// switchMargin is by how many requests the second choice must be emptier.
	// Counts that differ by less are noise, and turns spread evener than noise.
	switchMargin = 1.0
	// averageGain is that of the moving averages of costs and times.
	averageGain = 0.02
)

// Config sets a Balancer. Zero values take the defaults.
type Config struct {
	// Node is the ID of the entry VM on which the Balancer runs.
	Node string
	// FailureDomain of the node.
	FailureDomain string
	// NearDomains are the other failure domains, nearest first. Domains not
	// named follow in an order of the node's domain.
	NearDomains []string
	// Seed of the random choices; nodes take different ones.
	Seed uint64
	// SubsetSize is about how many replicas the node uses. No replica is left
	// without a node for the sake of it.
	SubsetSize int
	// SpillDomains is how many other failure domains the subset reaches.
	SpillDomains int
	// SpillThreshold is the load per slot from which a request may leave the nearest
	// failure domain, and SpillMargin by how much the other must be emptier.
	SpillThreshold float64
	SpillMargin    float64
	// AffinityLoadFactor over the mean load, or AffinityFree of its slots, is up to
	// where a replica takes its own prefixes.
	AffinityLoadFactor float64
	AffinityFloor      float64
	// SlowStart is how long a newcomer takes to get its whole share.
	SlowStart time.Duration
	// Backoff is how long a replica that refused for want of room is avoided.
	Backoff time.Duration
	// Health sets the ejection of outliers.
	Health health.Config
}

func withDefaults(c Config) Config {
	c.SubsetSize = cmp.Or(c.SubsetSize, DefaultSubsetSize)
	c.SpillDomains = cmp.Or(c.SpillDomains, DefaultSpillDomains)
	c.SpillThreshold = cmp.Or(c.SpillThreshold, DefaultSpillThreshold)
	c.SpillMargin = cmp.Or(c.SpillMargin, DefaultSpillMargin)
	c.AffinityLoadFactor = cmp.Or(c.AffinityLoadFactor, DefaultAffinityLoadFactor)
	c.AffinityFloor = cmp.Or(c.AffinityFloor, DefaultAffinityFloor)
	c.SlowStart = cmp.Or(c.SlowStart, DefaultSlowStart)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.Health.Seed = cmp.Or(c.Health.Seed, c.Seed)
	return c
}
