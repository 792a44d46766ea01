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
// PerDomain 3 of each failure domain may read: two may be lost or cut off at the same
// moment. They are in an order, and each asks those before it first, so that one reads
// while all is well; the next does as soon as what the ones before it tell is no longer
// young. Everything a node is told is a hint with an age; a node that is told nothing
// young reads for itself, so a wrong choice costs calls only.
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

// Reads says whether a node is one of its domain's readers. One that nobody knows yet
// is.
func Reads(name, domain string, members []Member) bool {
	known := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	return !known || rank(name, Of(domain, members)) >= 0
}

func rank(name string, list []Member) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
}

// Ask returns whom a node asks before it reads for itself, in order: a reader those
// before it, any other node all readers, beginning with one drawn for it so that they
// share the questions. One that nobody knows yet asks nobody.
func Ask(name, domain string, draw int, members []Member) []Member {
	list := Of(domain, members)
	own := rank(name, list)
	switch {
	case !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }):
		return nil
	case own >= 0:
		list = list[:own]
	}
	return Peers(name, draw, list)
}

// Peers returns those of a list that a node can call, beginning with one drawn for it.
func Peers(name string, draw int, list []Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Name == name || m.Address == "" })
	if len(list) == 0 {
		return nil
	}
	first := draw % len(list)
	return append(list[first:], list[:first]...)
}
