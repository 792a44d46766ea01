package storereaders

import (
	"fmt"
	"testing"
	"time"
)

// fleet is one in which the first nodes of each domain have entries of their own.
func fleet(domains, perDomain, withEntry int) []Member {
	var list []Member
	for d := range domains {
		for i := range perDomain {
			m := Member{Name: fmt.Sprintf("n%d-%02d", d, i), Domain: fmt.Sprint("d", d)}
			if i < withEntry {
				m.Address, m.HasEntry = "a", true
			}
			list = append(list, m)
		}
	}
	return list
}

// Three of each domain may read, in a small fleet every node.
func TestReadersPerDomain(t *testing.T) {
	for _, c := range []struct{ each, want int }{{2, 2}, {3, 3}, {28, 3}, {700, 3}} {
		members := fleet(3, c.each, 3)
		reading := 0
		for _, m := range members {
			if IsReader(m.Name, m.Domain, members) {
				reading++
			}
		}
		if reading != 3*c.want {
			t.Errorf("%d nodes a domain: %d read, want %d", c.each, reading, 3*c.want)
		}
	}
	if IsReader("new", "d0", fleet(1, 50, 3)) {
		t.Error("a node that is not listed yet has readers to ask")
	}
	if !IsReader("new", "d1", fleet(1, 50, 3)) {
		t.Error("a node whose domain has no reader has nobody to ask")
	}
}

// A node that is not listed yet asks the readers, so that it gets listed without a call
// to the store; one that can't be asked is nobody's reader.
func TestReadersToAsk(t *testing.T) {
	members := fleet(2, 50, 3)
	members[0].Address = "" // entered, as no reader heard it
	for _, name := range []string{"n0-40", "new"} {
		got := ""
		for _, m := range ReadersToAsk(name, "d0", members) {
			got += m.Name + " "
		}
		if got != "n0-01 n0-02 " {
			t.Errorf("%s asks %s", name, got)
		}
	}
	if asked := ReadersToAsk("n0-01", "d0", members); len(asked) != 0 {
		t.Errorf("the first reader asks %v", asked)
	}
}

// While all is well one node of a domain reads; if it is lost, or loses the store, the
// next does. Were all to read that may, a fleet would pay three times for the same.
func TestOneReaderPerDomainReads(t *testing.T) {
	for _, each := range []int{1, 2, 3, 28} {
		members := fleet(3, each, 3)
		for lost := range min(each, PerDomain) {
			reading := 0
			for _, m := range members {
				answered := false
				for _, asked := range ReadersToAsk(m.Name, m.Domain, members) {
					answered = answered || indexOf(asked.Name, ForDomain(m.Domain, members)) >= lost
				}
				if indexOf(m.Name, ForDomain(m.Domain, members)) >= lost && !answered {
					reading++
				}
			}
			if want := 3; reading != want && each > lost {
				t.Errorf("%d nodes a domain, %d lost: %d read, want %d", each, lost, reading, want)
			}
		}
	}
}

// Guards against a lease for each node: whatever the size, three of a domain have entries,
// those that are missing are replaced, and a new node displaces none.
func TestEntriesPerDomain(t *testing.T) {
	for _, c := range []struct {
		name                string
		each, entered, want int
	}{
		{"nobody is known", 0, 0, 0},
		{"small", 2, 2, 2},
		{"all is well", 42, 3, 3},
		{"one was lost", 42, 2, 3},
		{"two were lost", 42, 1, 3},
		{"all were lost: whoever comes enters", 42, 0, 42},
		{"all started at once and entered", 42, 42, 3},
	} {
		members := fleet(1, c.each, c.entered)
		entering := 0
		for _, m := range members {
			if NeedsEntry(m.Name, m.Domain, members) {
				entering++
			}
		}
		if entering != c.want {
			t.Errorf("%s: %d of %d nodes have entries, want %d", c.name, entering, c.each, c.want)
		}
		first := len(members) == 0 || c.entered == 0
		if NeedsEntry("a-new-one", "d0", members) != first {
			t.Errorf("%s: a new node enters: %v", c.name, !first)
		}
	}
}

// A fleet of few large VMs and many small ones starts, and small ones enter first. Guards
// against readers whose link is full of the others' questions: the large ones take their
// places, and then nobody changes any more.
func TestLargeNodesBecomeReaders(t *testing.T) {
	members := fleet(1, 40, 3)
	for i := range members {
		members[i].LinkMbps = 20
		if i >= 35 {
			members[i].LinkMbps = 200
		}
	}
	for range 3 {
		for i, m := range members {
			members[i].HasEntry = NeedsEntry(m.Name, m.Domain, members)
			members[i].Address = ""
			if members[i].HasEntry {
				members[i].Address = "a"
			}
		}
	}
	got := ""
	for _, m := range ForDomain("d0", members) {
		got += m.Name + " "
	}
	entered := selectSorted(members, func(m Member) bool { return m.HasEntry })
	if got != "n0-35 n0-36 n0-37 " || len(entered) != PerDomain {
		t.Errorf("%s read, %d have entries", got, len(entered))
	}
}

// Guards against a fleet that calls a lost store without end. Eight seconds without the
// store cost about as many calls with 42 nodes a domain as with three, and the first
// reader finds out within a third of a second that it is back.
func TestRetryRateDuringStoreOutage(t *testing.T) {
	const outage, baseInterval = 8 * time.Second, 300 * time.Millisecond
	countTries := func(domainSize int) int {
		members, tries := fleet(1, domainSize, 3), 0
		for _, m := range members {
			l := RetryState{BaseInterval: baseInterval, DomainSize: domainSize, IsReader: IsReader(m.Name, m.Domain, members), ReaderReached: len(ReadersToAsk(m.Name, m.Domain, members)) > 0}
			for at := time.Duration(0); at < outage; at += RetryInterval(l) {
				tries++
				l.Failures++
			}
		}
		return tries
	}
	small, large := countTries(3), countTries(42)
	if single := countTries(1); single < int(outage/baseInterval) {
		t.Errorf("the first reader tries %d times", single)
	}
	if large > 2*small {
		t.Errorf("%d calls with 3 nodes, %d with 42", small, large)
	}
	unknown := RetryState{BaseInterval: baseInterval, IsReader: true}
	for at, tries := time.Duration(0), 0; at < outage; at += RetryInterval(unknown) {
		tries++
		unknown.Failures++
		if tries > 10 {
			t.Fatal("a node that knows of no other tries as often as the first reader of a domain")
		}
	}
}

// A hundred nodes of a failure domain start at once, and the first try of one at the store
// fails while its readers have nothing to tell yet. Were it to share its tries with the
// others, it would serve nobody for half a minute.
func TestStartingNodeRetriesOnItsOwn(t *testing.T) {
	const baseInterval = 300 * time.Millisecond
	l := RetryState{BaseInterval: baseInterval, DomainSize: 100, ReaderReached: true, Failures: 1}
	if shared := RetryInterval(l); shared < 10*time.Second {
		t.Errorf("one that serves tries again after %v", shared)
	}
	l.Starting = true
	for l.Failures = 1; l.Failures < 10; l.Failures++ {
		if pause := RetryInterval(l); pause > baseInterval<<maxDoublings {
			t.Errorf("one that starts tries again after %v, having failed %d times", pause, l.Failures)
		}
	}
}
