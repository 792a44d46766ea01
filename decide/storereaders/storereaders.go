// Package storereaders decides which nodes read the platform's store themselves, which
// nodes ask these readers instead, and which nodes have an entry of their own in the store.
//
// # Load pattern
//
// Every node needs the configuration, the list of replicas and the list of nodes within a
// second or two of a change, and must know how old this data is. Calls to the store are
// billed. The store's rate limit grows more slowly than the fleet.
//
// # Failure without this package
//
// Each node reads everything each second and renews a lease of its own. The calls grow with
// the fleet, and two thousand nodes need more calls per second than the store allows.
//
// # Rules
//
//   - PerDomain nodes of each failure domain are its readers. Each reader has an entry of
//     its own in the store, in which it lists other nodes (decide/nodelist). With three
//     readers, two can be lost or cut off at the same time.
//   - The readers of a domain are ordered by bandwidth, the highest first. Before a reader
//     reads the store, it asks the readers that precede it. So in normal operation only the
//     first reader reads the store. The next reader reads the store as soon as the data
//     that it gets from the preceding readers is too old.
//   - A reader stays a reader unless a node with much more bandwidth replaces it. If a
//     reader is missing, the listed node with the most bandwidth becomes a reader.
//   - If no reader has received a request from a node, this node writes an entry of its
//     own. Callers are then told to connect to the node, but the node is not a reader.
//   - A node that failed to read the store tries again after its retry interval. Nodes that
//     reached a reader without recent data share their retries: the interval of each node is
//     multiplied by the number of nodes in the domain. RetryInterval states the exceptions.
//
// All data from other nodes is a hint with an age. A node without recent data reads the
// store itself, so a wrong choice costs only calls.
package storereaders

import (
	"cmp"
	"slices"
	"time"
)

// PerDomain is the number of readers in a failure domain.
const PerDomain = 3

// Member is a node as seen by other nodes.
type Member struct {
	Name, Domain string
	// Address is the address at which other nodes can call the member; empty if they
	// cannot.
	Address string
	// HasEntry is set if the node has an entry of its own in the store. A node without
	// one is listed in the entry of a reader.
	HasEntry bool
	// LinkMbps is the outbound bandwidth of the node's VM in Mbit/s; 0 if unknown.
	LinkMbps float64
}

// eligible reports whether a member can be one of its domain's readers.
func (m Member) eligible() bool { return m.HasEntry && m.Address != "" }

// ForDomain returns the readers of a failure domain in their order, the one with the most
// bandwidth first.
func ForDomain(domain string, members []Member) []Member {
	list := selectSorted(members, func(m Member) bool { return m.Domain == domain && m.eligible() })
	return list[:min(len(list), PerDomain)]
}

// selectSorted returns the members that keep accepts, without duplicates. Members with
// more bandwidth come first; members with the same bandwidth are sorted by name.
func selectSorted(members []Member, keep func(Member) bool) []Member {
	var list []Member
	for _, m := range members {
		if keep(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(list, func(a, b Member) bool { return a.Name == b.Name })
}

// IsReader reports whether a node is one of its domain's readers. IsReader returns true
// for every node of a domain without readers.
func IsReader(name, domain string, members []Member) bool {
	list := ForDomain(domain, members)
	return len(list) == 0 || indexOf(name, list) >= 0
}

// NeedsEntry reports whether a node needs an entry of its own. In a domain without
// readers, every node does. In any other domain the readers do. The other nodes are
// ordered by bandwidth, the highest first. If readers are missing, as many of the first
// other nodes need an entry too. So does each of the first PerDomain other nodes that has
// at least replaceLinkFactor times the bandwidth of the last reader, if the latter
// bandwidth is known.
func NeedsEntry(name, domain string, members []Member) bool {
	list := ForDomain(domain, members)
	if len(list) == 0 || indexOf(name, list) >= 0 {
		return true
	}
	others := selectSorted(members, func(m Member) bool { return m.Domain == domain && indexOf(m.Name, list) < 0 })
	position := indexOf(name, others)
	if position < 0 || position >= PerDomain {
		return false
	}
	weakestLink := list[len(list)-1].LinkMbps
	return position < PerDomain-len(list) || weakestLink > 0 && others[position].LinkMbps >= replaceLinkFactor*weakestLink
}

// replaceLinkFactor: a node replaces the last reader in the order, which has the least
// bandwidth, if the node has at least this many times the bandwidth of that reader. Since
// readers are ordered by bandwidth, the new reader precedes those with less. Bandwidth
// matters because all nodes of the domain ask the first reader.
const replaceLinkFactor = 2

// RetryState is the state of a node that failed to read the store.
type RetryState struct {
	// BaseInterval is the retry interval of a domain's first reader.
	BaseInterval time.Duration
	// Failures is the number of failed attempts to read the store. DomainSize is the
	// number of nodes in the failure domain.
	Failures, DomainSize int
	// IsReader is set if the node is one of the domain's readers. ReaderReached is set if
	// the node reached one of the readers that it has to ask (ReadersToAsk), but this
	// reader had no recent data.
	IsReader, ReaderReached bool
	// Starting is set until the node has received its first configuration.
	Starting bool
}

const (
	// backupReaderIntervalFactor times BaseInterval is the retry interval of a reader
	// that can reach one of the readers which precede it in the order.
	backupReaderIntervalFactor = 3
	// maxDoublings is how many times at most the retry interval of a node that backs off
	// exponentially is doubled.
	maxDoublings = 2
)

// RetryInterval returns the mean time from a failed read of the store to the node's next
// attempt. The first reader retries often, because it detects for all nodes that the
// store is back. The nodes that reached a reader without recent data share their retries:
// each retries once in DomainSize times BaseInterval. Together these nodes still detect
// that they can reach the store when their readers cannot. A node that reached no reader
// and is not one, or that knows no node of its domain (DomainSize 0), backs off
// exponentially, because the whole fleet may be in this state at once. A starting node
// that is not a reader also backs off exponentially instead of sharing retries, because
// it serves no callers until it has a configuration.
func RetryInterval(s RetryState) time.Duration {
	switch {
	case s.ReaderReached && s.IsReader:
		return backupReaderIntervalFactor * s.BaseInterval
	case s.ReaderReached && !s.Starting:
		return time.Duration(max(1, s.DomainSize)) * s.BaseInterval
	case s.IsReader && s.DomainSize > 0:
		return s.BaseInterval
	}
	return s.BaseInterval << min(max(0, s.Failures-1), maxDoublings)
}

func indexOf(name string, list []Member) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
}

// ReadersToAsk returns the readers that a node asks before it reads the store itself, in
// order. A reader asks only the readers that precede it; any other node asks all readers.
// Every node starts with the first reader: the first reader that reaches the store has
// the most recent data, so the requests cannot be spread over the readers.
func ReadersToAsk(name, domain string, members []Member) []Member {
	list := ForDomain(domain, members)
	if own := indexOf(name, list); own >= 0 {
		list = list[:own]
	}
	return CallableFrom(name, 0, list)
}

// CallableFrom returns the members of a list that the named node can call. The list is
// rotated by offset, so that nodes with different offsets start with different members.
func CallableFrom(name string, offset int, list []Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Name == name || m.Address == "" })
	if len(list) == 0 {
		return nil
	}
	first := offset % len(list)
	return append(list[first:], list[:first]...)
}
