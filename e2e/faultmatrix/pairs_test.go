package faultmatrix

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// kind is faults that strike the same thing.
type kind = []fault

// pairRule says which pairs of faults at two steps run. All of them would take
// hours; the matrix is to take less than two minutes.
const pairRule = "one for each ordered pair of kinds; its faults and its two steps are taken in turn, so that each fault comes first and second, and each two steps come"

// twoSteps are the path's steps, each with each later one.
func (p path) twoSteps() [][]step {
	var all [][]step
	for i, first := range p.steps {
		for _, second := range p.steps[i+1:] {
			all = append(all, []step{first, second})
		}
	}
	return all
}

// pairs are the path's cells of two faults, and the pairs of kinds that can't be.
func (p path) pairs() (all []plan, impossible []string) {
	steps := p.twoSteps()
	seconds := make([]int, len(p.kinds))
	for i, first := range p.kinds {
		firsts := 0
		for j, second := range p.kinds {
			a, b, ok := p.inTurn(first, second, firsts, seconds[j])
			if !ok {
				impossible = append(impossible, first[0].name+", then "+second[0].name)
				continue
			}
			all = append(all, plan{steps[(i*len(p.kinds)+j)%len(steps)], []fault{a, b}})
			firsts++
			seconds[j]++
		}
	}
	return all, impossible
}

// inTurn takes the next faults of two kinds that can follow each other.
func (p path) inTurn(first, second kind, n, m int) (a, b fault, ok bool) {
	for i := range first {
		for j := range second {
			a, b = first[(n+i)%len(first)], second[(m+j)%len(second)]
			if p.canFollow(a, b) {
				return a, b, true
			}
		}
	}
	return a, b, false
}

// canFollow says whether b can strike after a. A caller of a model or an order
// goes on to another node, which b can strike; the other paths are about one
// node. With two endpoints killed there is none left to give an answer.
func (p path) canFollow(a, b fault) bool {
	if a.name == "endpoint killed" && b.name == a.name {
		return false
	}
	movesOn := p.name == modelPathName || p.name == orderPathName
	return movesOn || a.name != "node killed" || !(strings.HasPrefix(b.name, "node ") || b.name == "second SIGTERM")
}

func (p path) printPairs() {
	if p.noPairs != "" {
		fmt.Printf("no pairs  | %s | %s\n", p.name, p.noPairs)
		return
	}
	faults := len(joined(p.kinds...))
	steps := len(p.twoSteps())
	pairs, impossible := p.pairs()
	possible := steps * faults * faults
	fmt.Printf("pairs     | %s | %d faults, then %d, at %d pairs of steps are %d; %d planned, %d not: %s\n",
		p.name, faults, faults, steps, possible, len(pairs), possible-len(pairs), pairRule)
	for _, why := range impossible {
		fmt.Printf("pairs     | %s | can't be: %s\n", p.name, why)
	}
}

// Two faults strike at two steps of one operation. The judgement is that of the
// path: what holds after one fault holds after two. The first one may keep the
// operation from the second step; the table counts these.
func TestTwoFaults(t *testing.T) {
	t.Parallel()
	for _, p := range paths {
		pairs, _ := p.pairs()
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.all(t, pairs)
		})
	}
}

// A fault or two steps that the turns never come to would be a gap that the
// count of pairs hides.
func TestPairsKeepToTheirRule(t *testing.T) {
	for _, p := range paths {
		if p.noPairs != "" {
			continue
		}
		pairs, _ := p.pairs()
		for _, f := range p.faults {
			if !holds(everyFault, f.name) {
				continue // it is a pair at one step
			}
			for place := range 2 {
				if !slices.ContainsFunc(pairs, func(c plan) bool { return c.faults[place].name == f.name }) {
					t.Errorf("%s: %q is never fault %d of a pair", p.name, f.name, place+1)
				}
			}
		}
		for _, two := range p.twoSteps() {
			if !slices.ContainsFunc(pairs, func(c plan) bool { return c.stepName() == (plan{steps: two}).stepName() }) {
				t.Errorf("%s: no pair strikes at %s", p.name, (plan{steps: two}).stepName())
			}
		}
	}
}
