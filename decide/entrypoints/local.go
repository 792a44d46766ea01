package entrypoints

import (
	"cmp"
	"slices"
)

const (
	// MinLocal is the smallest number of usable members in the caller's own failure
	// domain with which an answer names only these members: if one of them is lost,
	// another remains.
	MinLocal = 2
)

// PreferLocal returns the members that callers in the given failure domain should connect
// to, sorted by ID. Callers use any of the returned addresses. The result therefore holds
// only usable members of the callers' own domain, which callers reach by the shortest
// path and without a paid link. If that domain has fewer than MinLocal usable members,
// the result holds the usable members of all domains.
func PreferLocal(domain string, members []Member) []Member {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.usable() })
	slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	local := slices.DeleteFunc(slices.Clone(usable), func(m Member) bool { return m.FailureDomain != domain })
	if len(local) >= MinLocal {
		return local
	}
	return usable
}
