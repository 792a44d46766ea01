package entrypoints

import (
	"cmp"
	"slices"
)

const (
	// MinLocal is the fewest members of a caller's own failure domain that are enough
	// for an answer: the loss of one leaves the caller another.
	MinLocal = 2
)

// PreferLocal returns the members that callers of a failure domain should use, by name.
// Callers pick any of an answer's addresses, so it holds those of their own domain
// only, whose way is the shortest and crosses no link that is paid for; where these
// are fewer than MinNear, it holds all.
func PreferLocal(domain string, members []Member) []Member {
	usable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.usable() })
	slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	local := slices.DeleteFunc(slices.Clone(usable), func(m Member) bool { return m.FailureDomain != domain })
	if len(local) >= MinLocal {
		return local
	}
	return usable
}
