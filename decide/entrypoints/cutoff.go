package entrypoints

import "slices"

// minNamedShare is the smallest share of the nodes that callers are still told to connect to when
// nodes that reach no endpoint are left out. If more nodes are cut off, the others could not take
// all connections, and nodes that forward their requests still serve their callers.
const minNamedShare = 0.5

// LeaveOutCutOff returns the members without those that reach no endpoint. Such nodes serve their
// callers through other nodes, at the cost of a further hop. If too few members would be left,
// LeaveOutCutOff returns all.
func LeaveOutCutOff(members []Member, cutOff func(id string) bool) []Member {
	remaining := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return cutOff(m.ID) })
	if float64(len(remaining)) < minNamedShare*float64(len(members)) {
		return members
	}
	return remaining
}
