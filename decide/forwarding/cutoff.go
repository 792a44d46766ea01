package forwarding

import "time"

// cutOffTTL is how long a node counts as cut off after it last forwarded a request. A node with
// any load forwards several requests within this time.
const cutOffTTL = 2 * time.Second

// CutOffNodes remembers which other nodes forward their requests. They send none to replicas, so
// the nodes that serve for them divide the capacity of the replicas among fewer senders. The zero
// value is ready to use. It is not safe for concurrent use.
type CutOffNodes struct {
	forwardedAt map[pauseKey]time.Time
}

// allServices stands for all services in a pauseKey.
const allServices = ""

// Observe records that a node has forwarded a request for a service. fromAll is set if the node
// reaches no replica of any service.
func (c *CutOffNodes) Observe(now time.Time, service, node string, fromAll bool) {
	if c.forwardedAt == nil {
		c.forwardedAt = map[pauseKey]time.Time{}
	}
	for key, at := range c.forwardedAt {
		if now.Sub(at) >= cutOffTTL {
			delete(c.forwardedAt, key)
		}
	}
	c.forwardedAt[pauseKey{node, service}] = now
	if fromAll {
		c.forwardedAt[pauseKey{node, allServices}] = now
	}
}

// CutOff reports whether a node has lately forwarded a request for a service.
func (c *CutOffNodes) CutOff(now time.Time, service, node string) bool {
	at, ok := c.forwardedAt[pauseKey{node, service}]
	return ok && now.Sub(at) < cutOffTTL
}

// CutOffFromAll reports whether a node has lately said that it reaches no replica of any service.
func (c *CutOffNodes) CutOffFromAll(now time.Time, node string) bool {
	return c.CutOff(now, allServices, node)
}
