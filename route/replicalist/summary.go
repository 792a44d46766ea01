package replicalist

import "slices"

// ChangeSummary describes the changes between two lists for the log. Its size does not grow
// with the number of replicas.
type ChangeSummary struct {
	// CountsByKind is the number of changes of each Change.Kind.
	CountsByKind map[string]int
	// UsedByNode holds changes of replicas that this node uses, at most as many as
	// Summarize allows. OmittedCount is the number of further changes of such replicas.
	UsedByNode   []Change
	OmittedCount int
}

// Summarize returns the summary of changes. used reports whether this node uses a replica.
// At most maxUsed changes are kept in UsedByNode.
func Summarize(changes []Change, used func(*Replica) bool, maxUsed int) ChangeSummary {
	s := ChangeSummary{CountsByKind: map[string]int{}}
	for _, c := range changes {
		s.CountsByKind[c.Kind]++
		if used(c.Replica) {
			s.UsedByNode = append(s.UsedByNode, c)
		}
	}
	// Changes that end running requests come first, so that they are omitted last.
	slices.SortStableFunc(s.UsedByNode, func(a, b Change) int { return severity(b) - severity(a) })
	s.OmittedCount = max(0, len(s.UsedByNode)-maxUsed)
	s.UsedByNode = s.UsedByNode[:len(s.UsedByNode)-s.OmittedCount]
	return s
}

func severity(c Change) int {
	return slices.Index([]string{ChangeListed, ChangeUpdated, ChangeRetained, ChangeDraining, ChangeRemoved}, c.Kind)
}
