package entrypoints

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Parameters of the answers; doc.go gives the reasons for the values.
const (
	ValidFor        = 20 * time.Second
	RetryAfter      = 2 * time.Second
	MinHomes        = 2
	HomeHeadroom    = 4.0
	LocalPreference = 8.0
	MaxAddresses    = 3
)

// minCapacity is the lowest free capacity that the function preference assumes for a
// node, as a part of the node's whole capacity. preference assumes it even for a node
// that reports being full. If minCapacity were zero, a team whose homes are all full
// would get no address.
const minCapacity = 0.02

// Member is an entry VM as known to this node.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	// Load is the used part of the node's capacity; 1 means full.
	Load float64
	// Draining is set if the node is going to shut down, whichever node reported it.
	Draining bool
	// Suspected is set if the node has stopped responding.
	Suspected bool
}

// usable reports whether callers may be told to connect to the member.
func (m Member) usable() bool {
	return !m.Draining && !m.Suspected
}

// Query describes the caller that asks for addresses.
type Query struct {
	Team string
	// Caller distinguishes the callers of a team, for example by address, so that they
	// spread over the homes of a large team.
	Caller        string
	FailureDomain string
	// Share is the team's part of the total load, 0 to 1; zero if unknown.
	Share float64
}

// Address is an entry VM to connect to.
type Address struct {
	ID            string
	Address       string
	FailureDomain string
	// Weight is the part of its requests that the caller should send to this address. The
	// weights of an answer add up to 1.
	Weight float64
}

// Result is the answer to a caller. If Addresses is empty, no node is usable at present,
// and the caller asks again after ValidFor.
type Result struct {
	Addresses []Address
	ValidFor  time.Duration
}

// HomeCount returns how many homes a team needs if it has the given share of the total
// load and the fleet has the given number of nodes.
func HomeCount(share float64, nodes int) int {
	need := math.Ceil(share * float64(nodes) * HomeHeadroom)
	return min(nodes, max(MinHomes, int(need)))
}

// DrainDuration returns how long a draining node continues to serve new connections if
// its peers learn of the drain within propagationTime.
func DrainDuration(propagationTime time.Duration) time.Duration {
	return propagationTime + ValidFor
}

// Homes returns the IDs of the k nodes that share the team's limit. The score of a node
// is a hash of team and node; Homes returns the node with the highest score first.
// Draining and suspected nodes are skipped. When members join or leave, the remaining
// homes stay, except for those that a new member displaces.
func Homes(team string, members []Member, k int) []string {
	homes := homesOf(team, members, k)
	ids := make([]string, len(homes))
	for i, m := range homes {
		ids[i] = m.ID
	}
	return ids
}

// Answer returns the addresses that the caller should connect to.
func Answer(q Query, members []Member) Result {
	usable := countUsable(members)
	if usable == 0 {
		return Result{ValidFor: RetryAfter}
	}
	homes := homesOf(q.Team, members, HomeCount(q.Share, usable))
	chosen := selectHomes(q, homes)
	return Result{Addresses: withWeights(q, chosen), ValidFor: ValidFor}
}

func countUsable(members []Member) int {
	n := 0
	for _, m := range members {
		if m.usable() {
			n++
		}
	}
	return n
}

func homesOf(team string, members []Member, k int) []Member {
	key := rendezvous.Hash(team)
	return topAcrossDomains(members, k, func(m Member) float64 {
		if !m.usable() {
			return 0
		}
		return rendezvous.ToUnitInterval(rendezvous.Score(key, rendezvous.Hash(m.ID)))
	})
}

// selectHomes selects up to MaxAddresses homes for one caller. The probability that a
// home is selected is in proportion to the caller's preference for it. Query.Caller is
// part of the hash key. So a caller gets the same nodes when it asks again, and the
// callers of a team spread over its homes.
func selectHomes(q Query, homes []Member) []Member {
	key := rendezvous.Hash(q.Team + "\x00" + q.Caller)
	return topAcrossDomains(homes, MaxAddresses, func(m Member) float64 {
		return rendezvous.Weighted(key, rendezvous.Hash(m.ID), preference(q, m))
	})
}

func withWeights(q Query, members []Member) []Address {
	sum := 0.0
	for _, m := range members {
		sum += preference(q, m)
	}
	addresses := make([]Address, len(members))
	for i, m := range members {
		addresses[i] = Address{
			ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain,
			Weight: preference(q, m) / sum,
		}
	}
	return addresses
}

// preference returns the free capacity of a node, multiplied by LocalPreference if the
// node is in the caller's failure domain.
func preference(q Query, m Member) float64 {
	capacity := max(minCapacity, 1-m.Load)
	if m.FailureDomain == q.FailureDomain {
		return capacity * LocalPreference
	}
	return capacity
}

// topAcrossDomains returns the k members with the highest scores. If all of them are in
// one failure domain, the last one is replaced by the member of the other domains with
// the highest score, if that score is positive.
//
// Without this replacement, the loss of a failure domain cuts off a caller whose
// addresses are all in that domain, until the caller's answer expires. With two homes
// among six nodes in three domains, this affects a fifth of the teams. One address in
// another domain is enough, because the caller tries the next address when one does not
// respond. All other members are chosen by score alone, so that callers stay in their own
// domain and few homes move when a node joins or leaves.
func topAcrossDomains(members []Member, k int, score func(Member) float64) []Member {
	best := top(members, k, score)
	if len(best) < 2 || !sameDomain(best) {
		return best
	}
	otherDomain := top(members, 1, func(m Member) float64 {
		if m.FailureDomain == best[0].FailureDomain {
			return 0
		}
		return score(m)
	})
	if len(otherDomain) > 0 {
		best[len(best)-1] = otherDomain[0]
	}
	return best
}

func sameDomain(members []Member) bool {
	for _, m := range members {
		if m.FailureDomain != members[0].FailureDomain {
			return false
		}
	}
	return true
}

// scored is the index of a member in a list and the member's score. Members with higher
// scores are chosen first.
type scored struct {
	index int
	score float64
}

// top returns the k members with the highest scores, best first. Members without a
// positive score are skipped.
func top(members []Member, k int, score func(Member) float64) []Member {
	all := make([]scored, 0, len(members))
	for i, m := range members {
		if r := score(m); r > 0 {
			all = append(all, scored{i, r})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(members[a.index].ID, members[b.index].ID)
	})
	best := make([]Member, 0, min(k, len(all)))
	for _, r := range all[:min(k, len(all))] {
		best = append(best, members[r.index])
	}
	return best
}
