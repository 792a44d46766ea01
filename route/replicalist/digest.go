package replicalist

import "slices"

// Digest is what one list has changed, in a form whose size does not grow with the
// number of replicas.
type Digest struct {
	// Counts are the changes by what they are.
	Counts map[string]int
	// Own are the changes of replicas that this node uses, at most as many as were
	// asked for; Left is how many more of these there are.
	Own  []Change
	Left int
}

// Digested sums up changes. used says which replicas this node uses.
func Digested(changes []Change, used func(*Replica) bool, most int) Digest {
	d := Digest{Counts: map[string]int{}}
	for _, c := range changes {
		d.Counts[c.What]++
		if used(c.Replica) {
			d.Own = append(d.Own, c)
		}
	}
	// What ends a request comes before what does not, should some be left out.
	slices.SortStableFunc(d.Own, func(a, b Change) int { return severity(b) - severity(a) })
	d.Left = max(0, len(d.Own)-most)
	d.Own = d.Own[:len(d.Own)-d.Left]
	return d
}

func severity(c Change) int {
	return slices.Index([]string{WhatListed, WhatChanged, WhatLapsed, WhatDraining, WhatGone}, c.What)
}
