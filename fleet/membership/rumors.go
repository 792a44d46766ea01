package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// transmitFactor times log2 of the fleet's size is how often one node
	// passes on a piece of news; with it a rumor reaches everyone with a
	// probability that the repair by digest need only round off.
	transmitFactor = 2
	// updateBudget bounds the bytes of news in one message, so that a rush of
	// joins takes longer to spread and costs no more a second.
	updateBudget = 320
	// recordOverhead is the encoded size of a Member without its strings.
	recordOverhead = 30
	// repairAfter exchanges in a row with differing digests, and repairPerRound
	// for each doubling of the fleet, a node asks for a whole view: a rumor
	// would have settled by then. With fewer, each replaced VM would make every
	// node of a large fleet ask for one.
	repairAfter    = 5
	repairPerRound = 2
	// repairFloor intervals pass before the next request for a whole view, twice
	// as many each time that it did not help, up to repairPerMember for each
	// member: in a lasting difference the bytes a second stay the same at any
	// size, and in a rush of joins the first requests come quickly.
	repairPerMember = 20 * time.Millisecond
	repairFloor     = 5
	maxDoublings    = 10
)

// rumor is one piece of news with the number of times it was passed on.
type rumor struct {
	member Member
	sent   int
	// learned numbers the news of this node.
	learned int
}

// rumors holds the latest news of each member that still spreads.
type rumors struct {
	news    map[string]*rumor
	learned int
}

func (r *rumors) add(u Member) {
	r.learned++
	r.news[u.Name] = &rumor{member: u, learned: r.learned}
}

// take appends the news for one message, drains before others, then the least
// passed on, then the latest learned, within the budget; news passed on limit
// times is dropped. An order that all nodes share, e.g. by name, would have
// them all repeat the same few in a rush of joins.
func (r *rumors) take(updates []Member, peer string, limit int) []Member {
	if len(r.news) == 0 {
		return updates
	}
	order := make([]*rumor, 0, len(r.news))
	for _, item := range r.news {
		order = append(order, item)
	}
	slices.SortFunc(order, compareRumors)
	room := updateBudget
	for _, u := range updates {
		room -= encodedSize(u)
	}
	for _, item := range order {
		size := encodedSize(item.member)
		if room < size {
			break
		}
		if item.member.Name == peer || slices.Contains(updates, item.member) {
			continue
		}
		room -= size
		updates = append(updates, item.member)
		item.sent++
		if item.sent >= limit {
			delete(r.news, item.member.Name)
		}
	}
	return updates
}

// age counts all news as passed on once: the peer has the same view, so it has
// heard them. After a rush of joins this is what ends the rumors; the budget
// alone would have let 100 joins take minutes.
func (r *rumors) age(limit int) {
	for name, item := range r.news {
		item.sent++
		if item.sent >= limit {
			delete(r.news, name)
		}
	}
}

func compareRumors(a, b *rumor) int {
	if aDrain, bDrain := a.member.State == Draining, b.member.State == Draining; aDrain != bDrain {
		if aDrain {
			return -1
		}
		return 1
	}
	if a.sent != b.sent {
		return a.sent - b.sent
	}
	return b.learned - a.learned
}

func encodedSize(u Member) int {
	return recordOverhead + len(u.Name) + len(u.Address) + len(u.CallerAddress) + len(u.FailureDomain)
}

// repair decides when to ask a peer for its whole view: once after a start,
// and when digests keep differing although rumors had time to settle.
type repair struct {
	// whole: no view was received since the start.
	whole    bool
	differed int
	last     time.Time
	// failures counts whole views after which the digests still differed.
	failures int
}

func (r *repair) compare(equal bool) {
	if equal {
		r.differed = 0
		r.failures = 0
		return
	}
	r.differed++
}

func (r *repair) want(now time.Time, interval time.Duration, members int) bool {
	if r.whole {
		return true
	}
	ceiling := max(repairFloor*interval, time.Duration(members)*repairPerMember)
	pause := min(ceiling, repairFloor*interval<<min(r.failures, maxDoublings))
	patience := repairAfter + repairPerRound*bits.Len(uint(members))
	return r.differed >= patience && now.Sub(r.last) >= pause
}

func (r *repair) done(now time.Time) {
	r.whole = false
	r.differed = 0
	r.last = now
	r.failures++
}
