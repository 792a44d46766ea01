package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/fleet/exchange"
)

// testLimits is a node's splitter behind a lock.
type testLimits struct {
	mu       sync.Mutex
	splitter *limits.Splitter
	self     string
	homes    []string
	asked    atomic.Int64
}

func newTestLimits(self string) *testLimits {
	return &testLimits{self: self, splitter: limits.New(limits.Config{Self: self})}
}

func (l *testLimits) split(team string, rate float64, homes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.SetTeam(team, rate, homes)
	l.homes = homes
}

// demand asks for far more than the limit.
func (l *testLimits) demand(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 1000 {
		l.splitter.Allow(time.Now(), team, 10)
	}
}

func (l *testLimits) share(team string) limits.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	share, _ := l.splitter.Share(time.Now(), team)
	return share
}

func (l *testLimits) ExchangePeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []string
	for _, h := range l.homes {
		if h != l.self {
			others = append(others, h)
		}
	}
	return others
}

func (l *testLimits) RequestLoans(now time.Time, peer string) []limits.LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.RequestLoans(now, peer)
}

func (l *testLimits) Lend(peer string, asks []limits.LoanRequest) []limits.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked.Add(int64(len(asks)))
	return l.splitter.Lend(time.Now(), peer, asks)
}

func (l *testLimits) Borrow(asked time.Time, peer string, loans []limits.Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.Borrow(time.Now(), asked, peer, loans)
}

// A team's limit is split by two home nodes, and only one has callers. It asks
// the other, gets a loan, and may then use more than its even part; a node that
// is no home of the team is asked nothing and lends nothing.
func TestHomesLendTheirLimit(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 3, 1, 50*time.Millisecond)
	homes := []string{name(0), name(1)}
	for _, n := range nodes {
		n.split("bakers", 100, homes)
	}
	nodes[0].demand("bakers")
	await(t, "a loan", 5*time.Second, func() bool { return nodes[0].share("bakers").Borrowed > 0 })
	await(t, "the lender's books", 5*time.Second, func() bool { return nodes[1].share("bakers").Lent > 0 })
	await(t, "the third node exchanged with both", 5*time.Second, func() bool { return nodes[2].count("live") == 3 })
	if asked := nodes[2].asked.Load(); asked > 0 {
		t.Errorf("a node that is no home was asked %d times", asked)
	}
	sum := nodes[0].share("bakers").Rate + nodes[1].share("bakers").Rate
	if sum > 100+1e-6 {
		t.Errorf("the homes allow %v together, the limit is 100", sum)
	}
}

// A peer sends far more questions than it has teams in common with this node.
// No more are looked at than an exchange may carry, so a faulty peer costs no
// more than a sound one.
func TestLoansAreBounded(t *testing.T) {
	asks := make([]limits.LoanRequest, 10*maxLoans)
	for i := range asks {
		asks[i].Team = fmt.Sprintf("team-%03d", i)
	}
	if got := len(asksToWire(asks)); got != maxLoans {
		t.Errorf("%d questions sent, at most %d may be", got, maxLoans)
	}
	wire := make([]*exchange.Ask, 10*maxLoans)
	if got := len(asksFromWire(wire)); got != maxLoans {
		t.Errorf("%d questions taken, at most %d may be", got, maxLoans)
	}
}
