package loadshed

import (
	"math"
	"time"
)

const (
	// smoothedOver is the number of first events over which the rate of first events is
	// averaged if a second has fewer, for at most maxSmoothing.
	smoothedOver = 16
	maxSmoothing = 3 * time.Second
	// followLoaded is the time constant with which the capacity follows the rate of first events
	// while the wait is above the target, and fallIdle that for a lower rate while it is not.
	followLoaded = 500 * time.Millisecond
	fallIdle     = 5 * time.Second
	// silentShare of the former capacity is the rate below which the replicas count as silent,
	// and silentReturn the share of it that is admitted when they answer again.
	silentShare  = 0.1
	silentReturn = 0.9
	// formerCapacityTime is the time constant with which the former capacity is forgotten.
	formerCapacityTime = 10 * time.Second
	// warmUp is the time after the start until the first events of a second are known everywhere.
	warmUp = 2 * time.Second
	// slackFactor is how much longer than the unloaded latency the target is at least. If it
	// were not longer, refusing requests could not bring the wait back to the target, and the
	// admitted rate would fall without end.
	slackFactor = 1.75
	// maxTargetShare of the latency objective is the longest target.
	maxTargetShare = 0.6
	// latencyBatch is the number of first events in a mean, and latencyBatches the number of
	// means that are kept: about a minute at two requests a second.
	latencyBatch   = 16
	latencyBatches = 8
	// firstLatencyBatch is the size of the first batch. A node that has just started must not
	// learn from requests in an overload alone.
	firstLatencyBatch = 8
)

// unloadedLatency estimates the time to the first event without a queue at the replicas. It is
// the least mean of recent batches of this node's requests.
type unloadedLatency struct {
	sum   time.Duration
	count int
	means [latencyBatches]time.Duration // 0 if not yet known
	next  int
}

func (l *unloadedLatency) add(latency time.Duration) {
	l.sum += max(0, latency)
	l.count++
	if l.count < latencyBatch && (l.means[0] > 0 || l.count < firstLatencyBatch) {
		return
	}
	l.means[l.next] = l.sum / time.Duration(l.count)
	l.next = (l.next + 1) % latencyBatches
	l.sum, l.count = 0, 0
}

// least returns 0 if no batch is complete.
func (l *unloadedLatency) least() time.Duration {
	least := time.Duration(0)
	for _, mean := range l.means {
		if mean > 0 && (least == 0 || mean < least) {
			least = mean
		}
	}
	return least
}

// target returns the wait that a saturated service returns to. It is the longest one while the
// unloaded latency is unknown.
func (c *Controller) target() time.Duration {
	longest := time.Duration(maxTargetShare * float64(c.objective))
	unloaded := c.unloaded.least()
	if unloaded == 0 {
		return longest
	}
	target := time.Duration(targetShare * float64(c.objective))
	return min(max(target, time.Duration(slackFactor*float64(unloaded))), longest)
}

// observeCapacity brings the capacity up to date, elapsed after the last time. It is kept for
// each node, so that it remains right when the figures of some nodes are missing. While the wait
// is at the target or below, the replicas may answer less only because less was admitted, so the
// capacity falls slowly. If hardly any replica answers, the former capacity is kept for the time
// when they answer again; raising it from nothing would take many seconds.
func (c *Controller) observeCapacity(elapsed time.Duration) {
	nodes := float64(max(1, c.totals.Nodes))
	perNode := c.totals.FirstEvents / nodes
	loaded := c.totals.Awaiting > c.target().Seconds()*c.capacityPerNode*nodes
	// smoothing is the time constant in seconds, above 1 if a second has fewer than smoothedOver first
	// events.
	smoothing := min(smoothedOver/max(c.totals.FirstEvents, 1), maxSmoothing.Seconds())
	switch {
	case c.capacityPerNode == 0 || perNode > c.capacityPerNode && !loaded && smoothing <= 1:
		c.capacityPerNode = perNode
	case loaded:
		smoothing = max(smoothing, followLoaded.Seconds())
	case perNode < c.capacityPerNode:
		smoothing = max(smoothing, fallIdle.Seconds())
	}
	c.capacityPerNode += (perNode - c.capacityPerNode) * -math.Expm1(-elapsed.Seconds()/smoothing)
	c.silent = loaded && perNode < silentShare*c.formerPerNode
	if c.silent {
		c.capacityPerNode = silentReturn * c.formerPerNode
	} else {
		c.formerPerNode = max(c.capacityPerNode, c.formerPerNode*math.Exp(-elapsed.Seconds()/formerCapacityTime.Seconds()))
	}
	c.capacity = c.capacityPerNode * nodes
}

// observeUnseen estimates by how much the awaiting requests differ from the figures of other
// nodes, which are a horizon old: by those admitted less those answered since. Without it the
// same surplus is corrected twice, and the queue at the replicas swings between empty and late.
func (c *Controller) observeUnseen(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / horizon.Seconds())
	surplus := min(c.admitted, c.plan.demand) - c.capacity
	c.unseen = max(c.unseen*keep+surplus*horizon.Seconds()*(1-keep), -c.totals.Awaiting)
}

// observeBacklogs estimates for each priority how many requests of it and of more urgent ones wait
// at the replicas, which take the most urgent first: those that were admitted beyond the capacity.
func (c *Controller) observeBacklogs(elapsed time.Duration) {
	admitted := 0.0
	for priority := range c.backlogs {
		admitted += c.plan.rates[priority]
		grown := c.backlogs[priority] + (admitted-c.capacity)*elapsed.Seconds()
		c.backlogs[priority] = min(max(0, grown), c.totals.Awaiting)
	}
}

// initBacklogs sets the backlogs when the service becomes saturated. Until then all requests were
// admitted, for about a horizon.
func (c *Controller) initBacklogs() {
	admitted := 0.0
	for priority := range c.backlogs {
		admitted += c.plan.demands[priority]
		c.backlogs[priority] = max(0, admitted-c.capacity) * horizon.Seconds()
	}
}

// overloaded reports whether more requests await their first event than the target wait and
// chance explain, and have been waiting for longer than at the target wait. A sudden rise of
// the demand alone makes many requests wait, but none for long. A lost replica makes some
// requests wait for long, but not many. After the start first events are still few, and the age
// must be that of requests that are nearly late.
func (c *Controller) overloaded(at time.Duration) bool {
	target := c.target()
	explained := target.Seconds() * max(c.capacity, c.totals.FirstEvents)
	explained += 2*math.Sqrt(explained) + surplusAwaiting // two standard deviations of a Poisson count
	longest := target / 2
	if at < warmUp || c.totals.FirstEvents == 0 {
		longest = time.Duration(maxTargetShare * float64(c.objective))
	}
	return c.totals.Awaiting > explained && c.totals.AwaitingAge > longest
}
