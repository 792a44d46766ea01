package member

import (
	"slices"
	"strings"
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
	recordOverhead = 24
	// repairAfter exchanges in a row with differing digests, a node asks for a
	// whole view: rumors would have settled by then.
	repairAfter = 5
	// repairPerMember and repairFloor space the requests for whole views, so
	// that their bytes a second stay the same at any size.
	repairPerMember = 50 * time.Millisecond
	repairFloor     = 5
)

// rumor is one piece of news with the number of times it was passed on.
type rumor struct {
	member Member
	sent   int
}

// rumors holds the latest news of each member that still spreads.
type rumors map[string]*rumor

func (r rumors) add(u Member) { r[u.Name] = &rumor{member: u} }

// take appends the news for one message, least passed on first, drains before
// others, within the budget; news passed on limit times is dropped.
func (r rumors) take(updates []Member, peer string, limit int) []Member {
	if len(r) == 0 {
		return updates
	}
	order := make([]*rumor, 0, len(r))
	for _, item := range r {
		order = append(order, item)
	}
	slices.SortFunc(order, compareRumors)
	room := updateBudget
	for _, item := range order {
		size := encodedSize(item.member)
		if room < size {
			break
		}
		if item.member.Name == peer {
			continue
		}
		room -= size
		updates = append(updates, item.member)
		item.sent++
		if item.sent >= limit {
			delete(r, item.member.Name)
		}
	}
	return updates
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
	return strings.Compare(a.member.Name, b.member.Name)
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
}

func (r *repair) compare(equal bool) {
	if equal {
		r.differed = 0
		return
	}
	r.differed++
}

func (r *repair) want(now time.Time, interval time.Duration, members int) bool {
	if r.whole {
		return true
	}
	pause := max(repairFloor*interval, time.Duration(members)*repairPerMember)
	return r.differed >= repairAfter && now.Sub(r.last) >= pause
}

func (r *repair) done(now time.Time) {
	r.whole = false
	r.differed = 0
	r.last = now
}
