package entrypoints

import (
	"cmp"
	"slices"
)

const (
	// MinLocal is the smallest number of members in the caller's own failure domain that
	// is sufficient for an answer: if one of them is lost, another remains.
	MinLocal = 2
)

// PreferLocal returns the members that callers in a failure domain should connect to,
// sorted by ID. Callers use any of the returned addresses. The answer therefore holds
// only members of the callers' own domain, where the path is shortest and crosses no paid
// link. If fewer than MinLocal of them are usable, it holds all usable members.
func PreferLocal(domain string, members []Member) []Member {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.usable() })
	slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	local := slices.DeleteFunc(slices.Clone(usable), func(m Member) bool { return m.FailureDomain != domain })
	if len(local) >= MinLocal {
		return local
	}
	return usable
}
