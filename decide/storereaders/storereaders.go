// Package storereaders decides which nodes read the platform's store themselves, which ask
// those, and which have an entry of their own there.
//
// # Load pattern
//
// Every node needs the configuration, the replicas and the other nodes within a second
// or two of a change, and a proof of their age; the store's calls are paid for and its
// rate grows more slowly than the fleet.
//
// # Without it
//
// Each node reads all of it each second and renews a lease of its own: the calls grow with
// the fleet, and two thousand nodes need more of them a second than the store has.
//
// # Rules
//
//   - PerDomain nodes of each failure domain have an entry of their own, in which they
//     list the others (decide/nodelist); two may be lost or cut off at the same moment. They
//     are the domain's readers.
//   - They are in an order, and each asks those before it first, so that one reads while
//     all is well; the next does as soon as what the ones before it tell is no longer
//     young.
//   - Who is a reader stays one, unless a node with a much better link takes its place;
//     where one is missing, the best of those listed does.
//   - A node that no reader has heard enters itself, and is named to callers, but is no
//     reader.
//
// Everything a node is told is a hint with an age; a node that is told nothing young
// reads for itself, so a wrong choice costs calls only.
package storereaders

import (
	"cmp"
	"slices"
	"time"
)

// PerDomain is how many nodes of a failure domain read the store.
const PerDomain = 3

// Member is a node.
type Member struct {
	Name, Domain string
	// Address is where it is asked; "" if it can't be.
	Address string
	// HasEntry is set if it has an entry of its own; the others are listed by one that has.
	HasEntry bool
	// LinkMbps is what its VM may send, in Mbit/s; 0 if that is not known.
	LinkMbps float64
}

// eligible says whether a member may be one of its domain's readers.
func (m Member) eligible() bool { return m.HasEntry && m.Address != "" }

// ForDomain returns the nodes that read for a failure domain, in order.
func ForDomain(domain string, members []Member) []Member {
	list := selectSorted(members, func(m Member) bool { return m.Domain == domain && m.eligible() })
	return list[:min(len(list), PerDomain)]
}

// selectSorted returns some of the members, each once, those with more of a link first, and by
// name.
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

// IsReader says whether a node is one of its domain's readers. Where there is none, every
// node is.
func IsReader(name, domain string, members []Member) bool {
	list := ForDomain(domain, members)
	return len(list) == 0 || indexOf(name, list) >= 0
}

// NeedsEntry says whether a node needs an entry of its own: a reader, the first of the others
// where readers are missing, and any where there is none.
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

// replaceLinkFactor: a node with so many times the link of a reader takes its place. All nodes
// of the domain ask the first reader.
const replaceLinkFactor = 2

// RetryState is how a node stands that could not read the store.
type RetryState struct {
	// BaseInterval is between two tries of one that nobody reads for.
	BaseInterval time.Duration
	// Failures is how often it has tried in vain, DomainSize how many nodes its failure domain has.
	Failures, DomainSize int
	// IsReader is set for one of the domain's readers, ReaderReached if a reader before it was
	// reached, though with nothing young to tell.
	IsReader, ReaderReached bool
	// Starting is set until it has a configuration.
	Starting bool
}

const (
	// backupReaderFactor times Soon is between two tries of a reader that others come before.
	backupReaderFactor = 3
	// maxDoublings of the pause of a node that knows of no reader.
	maxDoublings = 2
)

// RetryInterval is the mean pause before the store is tried again. The first reader tries often:
// it finds out for all when the store is back. The nodes that it reads for share the
// tries by which they find out whether they reach the store where their readers don't.
// Who knows of nobody tries less and less often: the whole fleet may do so at once. So does
// a node that starts: until it has a configuration it serves nobody.
func RetryInterval(s RetryState) time.Duration {
	switch {
	case s.ReaderReached && s.IsReader:
		return backupReaderFactor * s.BaseInterval
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

// ReadersToAsk returns whom a node asks before it reads for itself, in order: a reader those
// before it, any other node all readers. What the first that reaches the store tells is
// the youngest, so the questions can't be shared.
func ReadersToAsk(name, domain string, members []Member) []Member {
	list := ForDomain(domain, members)
	if own := indexOf(name, list); own >= 0 {
		list = list[:own]
	}
	return CallableFrom(name, 0, list)
}

// CallableFrom returns those of a list that a node can call, beginning with one drawn for it.
func CallableFrom(name string, offset int, list []Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Name == name || m.Address == "" })
	if len(list) == 0 {
		return nil
	}
	first := offset % len(list)
	return append(list[first:], list[:first]...)
}
