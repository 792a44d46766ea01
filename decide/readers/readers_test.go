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

// In a small fleet every node reads for itself; in a large one three of each domain.
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
	if asked := Ask("n0-01", "d0", 7, members); len(asked) != 2 {
		t.Errorf("a reader asks the others only: %v", asked)
	}
}
