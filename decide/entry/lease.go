package entry

import "time"

const (
	// leaseOfOne, times the nodes of a failure domain, is how long the entry of a node
	// lives that has died; within leastLease and mostLease. Of n nodes a dead one is met
	// by an nth of the callers, who then take another, and each renewal is paid for: what
	// both cost together is least where the lease grows with n, and the fleet's renewals
	// are then as many whatever its size.
	leaseOfOne = 300 * time.Millisecond
	leastLease = 3 * time.Second
	mostLease  = 9 * time.Second
	// MuchLonger than it should a lease may be before the node enters itself anew.
	MuchLonger = 2
)

// Lease is how long the entry of a node that has died is to live where near nodes of its
// failure domain are known. A node that knows nobody takes the longest: fleets start at
// once, and a small one finds out at its next look.
func Lease(near int) time.Duration {
	if near == 0 {
		return mostLease
	}
	return min(mostLease, max(leastLease, time.Duration(near)*leaseOfOne))
}
