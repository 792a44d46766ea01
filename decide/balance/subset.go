package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// coverSalt keeps the fraction of a replica's cover independent of its ranks.
const coverSalt = 0x5bd1e995

// known is a replica of the service with the hash of its ID.
type known struct {
	Replica
	key uint64
}

func knownFrom(replicas []Replica) []known {
	all := make([]known, len(replicas))
	for i, r := range replicas {
		r.Slots = max(1, r.Slots)
		if r.Weight <= 0 {
			r.Weight = 1
		}
		all[i] = known{r, rendezvous.Hash(r.ID)}
	}
	slices.SortFunc(all, func(a, b known) int { return cmp.Compare(a.key, b.key) })
	return slices.CompactFunc(all, func(a, b known) bool { return a.key == b.key })
}

func contains(all []known, key uint64) bool {
	_, found := slices.BinarySearchFunc(all, key, func(k known, key uint64) int {
		return cmp.Compare(k.key, key)
	})
	return found
}

// subset chooses the replicas of one node.
type subset struct {
	cfg   Config
	self  uint64
	peers []uint64 // hashes of the domain's other nodes; nil if not known
}

// choose returns the near replicas and those to spill to.
func (s *subset) choose(all []known) (near, spill []known) {
	domains := s.byNearness(all)
	if len(domains) == 0 {
		return nil, nil
	}
	return s.chooseFrom(domains)
}

// chooseFrom takes the failure domains, nearest first.
func (s *subset) chooseFrom(domains [][]known) (near, spill []known) {
	total := 0
	for _, domain := range domains {
		total += len(domain)
	}
	if total <= wholeFactor*s.cfg.SubsetSize {
		return domains[0], slices.Concat(domains[1:]...)
	}
	quota := float64(s.cfg.SubsetSize)
	near = s.fromDomain(domains[0], quota*nearShare, true)
	others := domains[1:min(len(domains), 1+s.cfg.SpillDomains)]
	rest := max(quota*(1-nearShare), quota-float64(len(domains[0])))
	for _, domain := range others {
		spill = append(spill, s.fromDomain(domain, rest/float64(len(others)), false)...)
	}
	return near, spill
}

// byNearness groups the replicas by failure domain, nearest first.
func (s *subset) byNearness(all []known) [][]known {
	groups := make(map[string][]known)
	for _, k := range all {
		groups[k.FailureDomain] = append(groups[k.FailureDomain], k)
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.nearness(a), s.nearness(b)), cmp.Compare(s.distance(a), s.distance(b)))
	})
	ordered := make([][]known, len(names))
	for i, name := range names {
		ordered[i] = groups[name]
	}
	return ordered
}

// distance orders domains of the same nearness: all stand on one circle, and a
// domain spills to the next ones on it, so that each is spilled to by as many.
func (s *subset) distance(domain string) uint64 {
	return rendezvous.Hash(domain) - rendezvous.Hash(s.cfg.FailureDomain)
}

func (s *subset) nearness(domain string) int {
	if domain == s.cfg.FailureDomain {
		return -1
	}
	if i := slices.Index(s.cfg.NearDomains, domain); i >= 0 {
		return i
	}
	return len(s.cfg.NearDomains)
}

// fromDomain chooses about quota replicas of one domain. With all set every
// replica gets at least one node of this node's domain, so that none is idle.
func (s *subset) fromDomain(replicas []known, quota float64, all bool) []known {
	if float64(len(replicas)) <= quota {
		return replicas
	}
	if s.peers == nil {
		return s.highest(replicas, int(math.Ceil(quota)))
	}
	cover := quota * float64(len(s.peers)+1) / float64(len(replicas))
	if all {
		cover = math.Ceil(cover)
	}
	var chosen []known
	for _, r := range replicas {
		if s.among(r.key, coverOf(r.key, cover)) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// coverOf rounds the cover to a whole number for one replica, up for as many
// replicas as the fraction says.
func coverOf(replica uint64, cover float64) int {
	whole, fraction := math.Modf(cover)
	if rendezvous.Unit(rendezvous.Score(coverSalt, replica)) < fraction {
		whole++
	}
	return int(whole)
}

// among reports whether this node is among the replica's first n by rank.
func (s *subset) among(replica uint64, n int) bool {
	own := rendezvous.Score(replica, s.self)
	for _, p := range s.peers {
		if n <= 0 {
			break
		}
		if rendezvous.Score(replica, p) > own {
			n--
		}
	}
	return n > 0
}

// highest is the choice of a node that does not know its peers.
func (s *subset) highest(replicas []known, n int) []known {
	sorted := s.shuffled(replicas)
	return sorted[:min(n, len(sorted))]
}

// shuffled returns the replicas in an order of the node's own, highest rank
// first. Were the order common, nodes that take them in turn at the same pace
// would go round together and hit each replica in a burst.
func (s *subset) shuffled(replicas []known) []known {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b known) int {
		return cmp.Compare(rendezvous.Score(s.self, b.key), rendezvous.Score(s.self, a.key))
	})
	return sorted
}
