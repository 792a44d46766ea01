package replicalist

import "slices"

// ChangeSummary describes the changes between two lists for the log. Its size does not grow
// with the number of replicas.
type ChangeSummary struct {
	// CountsByKind is the number of changes of each Change.Kind.
	CountsByKind map[string]int
	// UsedByNode holds changes of replicas that this node uses, at most maxUsed of them
	// (see Summarize). OmittedCount is the number of changes of such replicas that
	// UsedByNode does not hold.
	UsedByNode   []Change
	OmittedCount int
}

// Summarize returns the summary of changes. used reports whether this node uses a replica.
// maxUsed is the maximum number of changes in UsedByNode.
func Summarize(changes []Change, used func(*Replica) bool, maxUsed int) ChangeSummary {
	s := ChangeSummary{CountsByKind: map[string]int{}}
	for _, c := range changes {
		s.CountsByKind[c.Kind]++
		if used(c.Replica) {
			s.UsedByNode = append(s.UsedByNode, c)
		}
	}
	// Sort the changes that end running requests to the front, because the end of the list
	// is cut off if the list has more than maxUsed changes.
	slices.SortStableFunc(s.UsedByNode, func(a, b Change) int { return severity(b) - severity(a) })
	s.OmittedCount = max(0, len(s.UsedByNode)-maxUsed)
	s.UsedByNode = s.UsedByNode[:len(s.UsedByNode)-s.OmittedCount]
	return s
}

func severity(c Change) int {
	return slices.Index([]string{ChangeListed, ChangeUpdated, ChangeRetained, ChangeDraining, ChangeRemoved}, c.Kind)
}
