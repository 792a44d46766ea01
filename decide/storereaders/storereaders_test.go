package storereaders

import (
	"fmt"
	"testing"
	"time"
)

// fleet returns the members of a fleet. In each domain the first withEntry nodes have an
// entry of their own.
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

// Guards against store calls that grow with the fleet. Three nodes of each domain may
// read the store; in a domain with fewer nodes, all of them may.
func TestReadersPerDomain(t *testing.T) {
	for _, c := range []struct{ perDomain, want int }{{2, 2}, {3, 3}, {28, 3}, {700, 3}} {
		members := fleet(3, c.perDomain, 3)
		reading := 0
		for _, m := range members {
			if IsReader(m.Name, m.Domain, members) {
				reading++
			}
		}
		if reading != 3*c.want {
			t.Errorf("%d nodes per domain: %d read, want %d", c.perDomain, reading, 3*c.want)
		}
	}
	if IsReader("new", "d0", fleet(1, 50, 3)) {
		t.Error("a node that is not listed yet reads although its domain has readers")
	}
	if !IsReader("new", "d1", fleet(1, 50, 3)) {
		t.Error("a node does not read although its domain has no reader")
	}
}

// Guards against a store call by each node that is not listed yet. Such a node asks the
// readers, which then list it. A node without an address cannot be asked and is therefore
// not a reader.
func TestReadersToAsk(t *testing.T) {
	members := fleet(2, 50, 3)
	members[0].Address = "" // n0-00 has an entry because no reader has received a request from n0-00
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

// Guards against store calls that read the same data several times. In normal operation
// one node of a domain reads the store. If this node is lost or cannot reach the store,
// the next reader reads instead.
func TestOneReaderPerDomainReads(t *testing.T) {
	for _, perDomain := range []int{1, 2, 3, 28} {
		members := fleet(3, perDomain, 3)
		for lost := range min(perDomain, PerDomain) {
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
			if want := 3; reading != want && perDomain > lost {
				t.Errorf("%d nodes per domain, %d lost: %d read, want %d", perDomain, lost, reading, want)
			}
		}
	}
}

// Guards against a lease in the store for each node. Three nodes of a domain have
// entries, whatever the size of the domain. If such a node is lost, another one replaces
// it. A new node replaces none.
func TestEntriesPerDomain(t *testing.T) {
	for _, c := range []struct {
		name                       string
		perDomain, withEntry, want int
	}{
		{"no node is known", 0, 0, 0},
		{"small", 2, 2, 2},
		{"normal operation", 42, 3, 3},
		{"one was lost", 42, 2, 3},
		{"two were lost", 42, 1, 3},
		{"all were lost: every node needs an entry", 42, 0, 42},
		{"all started at once with entries", 42, 42, 3},
	} {
		members := fleet(1, c.perDomain, c.withEntry)
		count := 0
		for _, m := range members {
			if NeedsEntry(m.Name, m.Domain, members) {
				count++
			}
		}
		if count != c.want {
			t.Errorf("%s: %d of %d nodes have entries, want %d", c.name, count, c.perDomain, c.want)
		}
		wantEntry := len(members) == 0 || c.withEntry == 0
		if NeedsEntry("a-new-one", "d0", members) != wantEntry {
			t.Errorf("%s: a new node needs an entry: %v", c.name, !wantEntry)
		}
	}
}

// Guards against readers whose link is saturated by requests of other nodes. A fleet of
// few large VMs and many small ones starts, and nodes on small VMs get the first entries.
// The nodes on large VMs replace them, and after that the readers no longer change.
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
	withEntry := selectSorted(members, func(m Member) bool { return m.HasEntry })
	if got != "n0-35 n0-36 n0-37 " || len(withEntry) != PerDomain {
		t.Errorf("%s read, %d have entries", got, len(withEntry))
	}
}

// Guards against a fleet that calls an unreachable store at a rate that grows with the
// size of the fleet. An outage of eight seconds causes about as many calls with 42 nodes
// per domain as with three. The first reader detects the end of the outage within a third
// of a second.
func TestRetryRateDuringStoreOutage(t *testing.T) {
	const outage, retryBaseInterval = 8 * time.Second, 300 * time.Millisecond
	countTries := func(domainSize int) int {
		members, tries := fleet(1, domainSize, 3), 0
		for _, m := range members {
			state := RetryState{BaseInterval: retryBaseInterval, DomainSize: domainSize, IsReader: IsReader(m.Name, m.Domain, members), ReaderReached: len(ReadersToAsk(m.Name, m.Domain, members)) > 0}
			for at := time.Duration(0); at < outage; at += RetryInterval(state) {
				tries++
				state.Failures++
			}
		}
		return tries
	}
	small, large := countTries(3), countTries(42)
	if single := countTries(1); single < int(outage/retryBaseInterval) {
		t.Errorf("the first reader makes only %d attempts", single)
	}
	if large > 2*small {
		t.Errorf("%d calls with 3 nodes, %d with 42", small, large)
	}
	noReaderKnown := RetryState{BaseInterval: retryBaseInterval, IsReader: true}
	for at, tries := time.Duration(0), 0; at < outage; at += RetryInterval(noReaderKnown) {
		tries++
		noReaderKnown.Failures++
		if tries > 10 {
			t.Fatal("a node that knows no other node retries as often as the first reader of a domain")
		}
	}
}

// Guards against a starting node that serves no callers for half a minute. A hundred
// nodes of a failure domain start at once. The first attempt of one node to read the store
// fails, and its readers have no data yet. If the node shared its retries with the other
// nodes, its retry interval would be multiplied by their number.
func TestStartingNodeRetriesOnItsOwn(t *testing.T) {
	const retryBaseInterval = 300 * time.Millisecond
	state := RetryState{BaseInterval: retryBaseInterval, DomainSize: 100, ReaderReached: true, Failures: 1}
	if shared := RetryInterval(state); shared < 10*time.Second {
		t.Errorf("a serving node retries after %v", shared)
	}
	state.Starting = true
	for state.Failures = 1; state.Failures < 10; state.Failures++ {
		if interval := RetryInterval(state); interval > retryBaseInterval<<maxDoublings {
			t.Errorf("a starting node retries after %v, after %d failures", interval, state.Failures)
		}
	}
}
