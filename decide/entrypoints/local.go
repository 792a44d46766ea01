package entrypoints

import (
	"cmp"
	"slices"
)

const (
	// MinLocal is the smallest number of usable members in the callers' failure domain
	// with which PreferLocal returns only these members. With MinLocal members, another
	// member of the domain remains if one is lost.
	MinLocal = 2
)

// PreferLocal returns the members that callers in the given failure domain should connect
// to, sorted by ID. If the domain has at least MinLocal usable members, PreferLocal
// returns only these, because callers reach them by the shortest path and without a paid
// link. Members of other domains are left out in this case, because a caller connects to
// any of the returned members. If the domain has fewer than MinLocal usable members,
// PreferLocal returns the usable members of all domains.
func PreferLocal(domain string, members []Member) []Member {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.usable() })
	slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	local := slices.DeleteFunc(slices.Clone(usable), func(m Member) bool { return m.FailureDomain != domain })
	if len(local) >= MinLocal {
		return local
	}
	return usable
}
