package entrypoints

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Figures of the answers; doc.go gives their grounds.
const (
	ValidFor        = 20 * time.Second
	RetryAfter      = 2 * time.Second
	MinHomes        = 2
	HomeHeadroom    = 4.0
	LocalPreference = 8.0
	MaxAddresses    = 3
)

// minCapacity is the weight of a node that says it is full. Were it zero, a team
// whose homes are all full would get no address.
const minCapacity = 0.02

// Member is an entry VM as this node knows it.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	// Load is the used part of the node, 1 for full.
	Load float64
	// Draining is set if the node is to leave, whoever said so.
	Draining bool
	// Suspected is set if the node has gone silent.
	Suspected bool
}

func (m Member) usable() bool {
	return !m.Draining && !m.Suspected
}

// Query is a caller's question.
type Query struct {
	Team string
	// Caller tells callers of a team apart, for example by address, so that
	// they spread over a large team's homes.
	Caller        string
	FailureDomain string
	// Share is the team's part of the whole load, 0 to 1; zero if unknown.
	Share float64
}

// Address is an entry VM to use.
type Address struct {
	ID            string
	Address       string
	FailureDomain string
	// Weight is the part of its requests that the caller should send there.
	// The weights of an answer add up to 1.
	Weight float64
}

// Result is the answer to a caller. No addresses means that no node may be
// named now; the caller asks again after ValidFor.
type Result struct {
	Addresses []Address
	ValidFor  time.Duration
}

// HomeCount returns how many homes a team with the given share of the load
// needs among the given number of nodes.
func HomeCount(share float64, nodes int) int {
	need := math.Ceil(share * float64(nodes) * HomeHeadroom)
	return min(nodes, max(MinHomes, int(need)))
}

// DrainDuration returns how long a leaving node goes on serving new connections if
// its peers learn of it within spread.
func DrainDuration(propagation time.Duration) time.Duration {
	return propagation + ValidFor
}

// Homes returns the IDs of the k nodes that hold the team's share of its limit,
// highest rank first. Draining and suspected nodes are passed over. Nodes with
// different member lists differ only in the members that the lists differ in.
func Homes(team string, members []Member, k int) []string {
	homes := homesOf(team, members, k)
	ids := make([]string, len(homes))
	for i, m := range homes {
		ids[i] = m.ID
	}
	return ids
}

// Answer returns the addresses that the caller should use.
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
		return rendezvous.Unit(rendezvous.Score(key, rendezvous.Hash(m.ID)))
	})
}

// selectHomes picks a few homes for one caller, in proportion to their preference.
// The caller's name is the key, so a caller keeps its nodes when it asks again
// and the callers of a team spread over its homes.
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

// preference is the room left at a node, times NearPreference in the caller's
// failure domain.
func preference(q Query, m Member) float64 {
	capacity := max(minCapacity, 1-m.Load)
	if m.FailureDomain == q.FailureDomain {
		return capacity * LocalPreference
	}
	return capacity
}

// topAcrossDomains returns the k members of the highest rank, but for the last one if
// all are in one failure domain and members of others are to be had: then it is
// the best of those.
//
// The failure is the loss of a failure domain. A caller whose addresses are all
// in it has nowhere to go until its answer runs out; with two homes of six nodes
// in three domains that is a fifth of the teams. One address elsewhere is enough,
// as the caller tries the next when one does not answer; the other members stay
// by rank, so that callers stay near and few homes move when a node comes or
// goes.
func topAcrossDomains(members []Member, k int, rank func(Member) float64) []Member {
	best := top(members, k, rank)
	if len(best) < 2 || !sameDomain(best) {
		return best
	}
	otherDomain := top(members, 1, func(m Member) float64 {
		if m.FailureDomain == best[0].FailureDomain {
			return 0
		}
		return rank(m)
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

// ranked is a member by its index and its rank.
type ranked struct {
	index int
	rank  float64
}

// top returns the k members of the highest positive rank, best first.
func top(members []Member, k int, rank func(Member) float64) []Member {
	all := make([]ranked, 0, len(members))
	for i, m := range members {
		if r := rank(m); r > 0 {
			all = append(all, ranked{i, r})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank != b.rank {
			return cmp.Compare(b.rank, a.rank)
		}
		return cmp.Compare(members[a.index].ID, members[b.index].ID)
	})
	best := make([]Member, 0, min(k, len(all)))
	for _, r := range all[:min(k, len(all))] {
		best = append(best, members[r.index])
	}
	return best
}
