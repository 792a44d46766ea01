package replicalist

import "slices"

// ChangeSummary is what one list has changed, in a form whose size does not grow with the
// number of replicas.
type ChangeSummary struct {
	// CountsByKind are the changes by what they are.
	CountsByKind map[string]int
	// UsedByNode are the changes of replicas that this node uses, at most as many as were
	// asked for; Left is how many more of these there are.
	UsedByNode   []Change
	OmittedCount int
}

// Summarize sums up changes. used says which replicas this node uses.
func Summarize(changes []Change, used func(*Replica) bool, most int) ChangeSummary {
	d := ChangeSummary{CountsByKind: map[string]int{}}
	for _, c := range changes {
		d.CountsByKind[c.Kind]++
		if used(c.Replica) {
			d.UsedByNode = append(d.UsedByNode, c)
		}
	}
	// What ends a request comes before what does not, should some be left out.
	slices.SortStableFunc(d.UsedByNode, func(a, b Change) int { return severity(b) - severity(a) })
	d.OmittedCount = max(0, len(d.UsedByNode)-most)
	d.UsedByNode = d.UsedByNode[:len(d.UsedByNode)-d.OmittedCount]
	return d
}

func severity(c Change) int {
	return slices.Index([]string{ChangeListed, ChangeUpdated, ChangeRetained, ChangeDraining, ChangeRemoved}, c.Kind)
}
