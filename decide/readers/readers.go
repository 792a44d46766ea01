// Package readers decides which nodes read the platform's store themselves and which
// ask those.
//
// # Load pattern
//
// Every node needs the configuration, the replicas and the other nodes within a second
// or two of a change, and a proof of their age; the store's calls are paid for and its
// rate grows more slowly than the fleet.
//
// # Without it
//
// Each node reads all of it each second: 84 nodes pay a tenth of a quiet day's worth
// for it, and 2,200 need more calls a second than the store has.
//
// # Grounds
//
// PerDomain 3 of each failure domain read: two may be lost or cut off at the same
// moment. Small fleets, of up to three nodes a domain, all read for themselves.
// Everything a node is told is a hint with an age; a node that is told nothing young
// reads for itself, so a wrong choice costs calls only.
package readers

import (
	"cmp"
	"slices"
)

// PerDomain is how many nodes of a failure domain read the store.
const PerDomain = 3

// Member is a node.
type Member struct {
	Name, Domain string
	// Address is where it is asked; "" if it can't be.
	Address string
}

// Of returns the nodes that read for a failure domain, in order of name.
func Of(domain string, members []Member) []Member {
	var list []Member
	for _, m := range members {
		if m.Domain == domain {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list[:min(len(list), PerDomain)]
}

// Reads says whether a node reads for itself: it is one of its domain's readers, or
// nobody knows it yet.
func Reads(name, domain string, members []Member) bool {
	known := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	return !known || slices.ContainsFunc(Of(domain, members), func(m Member) bool { return m.Name == name })
}

// Ask returns whom a node asks, in order. It begins with one drawn for it, so that the
// readers share the questions.
func Ask(name, domain string, draw int, members []Member) []Member {
	list := slices.DeleteFunc(slices.Clone(Of(domain, members)), func(m Member) bool { return m.Name == name || m.Address == "" })
	if len(list) == 0 {
		return nil
	}
	first := draw % len(list)
	return append(list[first:], list[:first]...)
}
