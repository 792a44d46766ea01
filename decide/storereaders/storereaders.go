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
	// Entered is set if it has an entry of its own; the others are listed by one that has.
	Entered bool
	// Link is what its VM may send, in Mbit/s; 0 if that is not known.
	Link float64
}

// reader says whether a member may be one of its domain's readers.
func (m Member) reader() bool { return m.Entered && m.Address != "" }

// Of returns the nodes that read for a failure domain, in order.
func Of(domain string, members []Member) []Member {
	list := filter(members, func(m Member) bool { return m.Domain == domain && m.reader() })
	return list[:min(len(list), PerDomain)]
}

// filter returns some of the members, each once, those with more of a link first, and by
// name.
func filter(members []Member, keep func(Member) bool) []Member {
	var list []Member
	for _, m := range members {
		if keep(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(list, func(a, b Member) bool { return a.Name == b.Name })
}

// Reads says whether a node is one of its domain's readers. Where there is none, every
// node is.
func Reads(name, domain string, members []Member) bool {
	list := Of(domain, members)
	return len(list) == 0 || rank(name, list) >= 0
}

// Enters says whether a node needs an entry of its own: a reader, the first of the others
// where readers are missing, and any where there is none.
func Enters(name, domain string, members []Member) bool {
	list := Of(domain, members)
	if len(list) == 0 || rank(name, list) >= 0 {
		return true
	}
	others := filter(members, func(m Member) bool { return m.Domain == domain && rank(m.Name, list) < 0 })
	place := rank(name, others)
	if place < 0 || place >= PerDomain {
		return false
	}
	least := list[len(list)-1].Link
	return place < PerDomain-len(list) || least > 0 && others[place].Link >= betterTimes*least
}

// betterTimes: a node with so many times the link of a reader takes its place. All nodes
// of the domain ask the first reader.
const betterTimes = 2

// Lost is how a node stands that could not read the store.
type Lost struct {
	// Soon is between two tries of one that nobody reads for.
	Soon time.Duration
	// Failed is how often it has tried in vain, Near how many nodes its failure domain has.
	Failed, Near int
	// Reader is set for one of the domain's readers, Told if a reader before it was
	// reached, though with nothing young to tell.
	Reader, Told bool
	// Starting is set until it has a configuration.
	Starting bool
}

const (
	// behind times Soon is between two tries of a reader that others come before.
	behind = 3
	// mostDoublings of the pause of a node that knows of no reader.
	mostDoublings = 2
)

// Retry is the mean pause before the store is tried again. The first reader tries often:
// it finds out for all when the store is back. The nodes that it reads for share the
// tries by which they find out whether they reach the store where their readers don't.
// Who knows of nobody tries less and less often: the whole fleet may do so at once. So does
// a node that starts: until it has a configuration it serves nobody.
func Retry(l Lost) time.Duration {
	switch {
	case l.Told && l.Reader:
		return behind * l.Soon
	case l.Told && !l.Starting:
		return time.Duration(max(1, l.Near)) * l.Soon
	case l.Reader && l.Near > 0:
		return l.Soon
	}
	return l.Soon << min(max(0, l.Failed-1), mostDoublings)
}

func rank(name string, list []Member) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
}

// Ask returns whom a node asks before it reads for itself, in order: a reader those
// before it, any other node all readers. What the first that reaches the store tells is
// the youngest, so the questions can't be shared.
func Ask(name, domain string, members []Member) []Member {
	list := Of(domain, members)
	if own := rank(name, list); own >= 0 {
		list = list[:own]
	}
	return Peers(name, 0, list)
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
