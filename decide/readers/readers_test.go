package readers

import (
	"fmt"
	"testing"
)

func fleet(domains, each int) []Member {
	var list []Member
	for d := range domains {
		for i := range each {
			list = append(list, Member{Name: fmt.Sprintf("n%d-%02d", d, i), Domain: fmt.Sprint("d", d), Address: "a"})
		}
	}
	return list
}

// Three of each domain may read, in a small fleet every node.
func TestWhoReads(t *testing.T) {
	for _, c := range []struct{ each, want int }{{2, 2}, {3, 3}, {28, 3}, {700, 3}} {
		members := fleet(3, c.each)
		reading := 0
		for _, m := range members {
			if Reads(m.Name, m.Domain, members) {
				reading++
			}
		}
		if reading != 3*c.want {
			t.Errorf("%d nodes a domain: %d read, want %d", c.each, reading, 3*c.want)
		}
	}
	if !Reads("new", "d0", fleet(1, 50)) {
		t.Error("a node that nobody knows has nobody to ask")
	}
}

// The readers share the questions evenly, and each node has all of them to fall back
// on.
func TestQuestionsAreShared(t *testing.T) {
	members := fleet(1, 50)
	first := map[string]int{}
	for draw := range 300 {
		asked := Ask("n0-40", "d0", draw, members)
		if len(asked) != PerDomain {
			t.Fatalf("%v", asked)
		}
		first[asked[0].Name]++
	}
	for name, n := range first {
		if n != 100 {
			t.Errorf("%s is asked first %d times of 300", name, n)
		}
	}
	if asked := Ask("new", "d0", 7, members); len(asked) != 0 {
		t.Errorf("a node that nobody knows asks %v", asked)
	}
}

// While all is well one node of a domain reads; if it is lost, or loses the store, the
// next does. Were all to read that may, a fleet would pay three times for the same.
func TestOneReadsWhileAllIsWell(t *testing.T) {
	for _, each := range []int{1, 2, 3, 28} {
		members := fleet(3, each)
		for lost := range min(each, PerDomain) {
			reading := 0
			for _, m := range members {
				answered := false
				for _, asked := range Ask(m.Name, m.Domain, 5, members) {
					answered = answered || rank(asked.Name, Of(m.Domain, members)) >= lost
				}
				if rank(m.Name, Of(m.Domain, members)) >= lost && !answered {
					reading++
				}
			}
			if want := 3; reading != want && each > lost {
				t.Errorf("%d nodes a domain, %d lost: %d read, want %d", each, lost, reading, want)
			}
		}
	}
}
