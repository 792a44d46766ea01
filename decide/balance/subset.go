package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// coverSalt makes the rounding of a replica's cover independent of the scores of
// its nodes.
const coverSalt = 0x5bd1e995

// hashedReplica is a replica of the service with the hash of its ID.
type hashedReplica struct {
	Replica
	hash uint64
}

func hashReplicas(replicas []Replica) []hashedReplica {
	all := make([]hashedReplica, len(replicas))
	for i, r := range replicas {
		r.Slots = max(1, r.Slots)
		if r.Weight <= 0 {
			r.Weight = 1
		}
		all[i] = hashedReplica{r, rendezvous.Hash(r.ID)}
	}
	slices.SortFunc(all, func(a, b hashedReplica) int { return cmp.Compare(a.hash, b.hash) })
	return slices.CompactFunc(all, func(a, b hashedReplica) bool { return a.hash == b.hash })
}

func containsHash(all []hashedReplica, hash uint64) bool {
	_, found := slices.BinarySearchFunc(all, hash, func(k hashedReplica, hash uint64) int {
		return cmp.Compare(k.hash, hash)
	})
	return found
}

// subset chooses the replicas that one node uses.
type subset struct {
	cfg        Config
	nodeHash   uint64
	peerHashes []uint64 // hashes of the other nodes of the domain; nil if unknown
}

// choose returns the replicas of the nearest failure domain and those to which
// requests spill.
func (s *subset) choose(all []hashedReplica) (near, spill []hashedReplica) {
	domains := s.byNearness(all)
	if len(domains) == 0 {
		return nil, nil
	}
	return s.chooseFromDomains(domains)
}

// chooseFromDomains expects the failure domains nearest first.
func (s *subset) chooseFromDomains(domains [][]hashedReplica) (near, spill []hashedReplica) {
	total := 0
	for _, domain := range domains {
		total += len(domain)
	}
	if total <= useAllFactor*s.cfg.SubsetSize {
		return domains[0], slices.Concat(domains[1:]...)
	}
	quota := float64(s.cfg.SubsetSize)
	near = s.chooseFromDomain(domains[0], quota*nearShare, true)
	spillDomains := domains[1:min(len(domains), 1+s.cfg.SpillDomains)]
	spillQuota := max(quota*(1-nearShare), quota-float64(len(domains[0])))
	for _, domain := range spillDomains {
		spill = append(spill, s.chooseFromDomain(domain, spillQuota/float64(len(spillDomains)), false)...)
	}
	return near, spill
}

// byNearness groups the replicas by failure domain, nearest first.
func (s *subset) byNearness(all []hashedReplica) [][]hashedReplica {
	byDomain := make(map[string][]hashedReplica)
	for _, k := range all {
		byDomain[k.FailureDomain] = append(byDomain[k.FailureDomain], k)
	}
	names := make([]string, 0, len(byDomain))
	for name := range byDomain {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.nearnessRank(a), s.nearnessRank(b)), cmp.Compare(s.ringDistance(a), s.ringDistance(b)))
	})
	ordered := make([][]hashedReplica, len(names))
	for i, name := range names {
		ordered[i] = byDomain[name]
	}
	return ordered
}

// ringDistance orders domains of the same nearness. All domains have a position on
// one ring, and a domain spills to the ones that follow it, so that each domain
// receives the spill of equally many others.
func (s *subset) ringDistance(domain string) uint64 {
	return rendezvous.Hash(domain) - rendezvous.Hash(s.cfg.FailureDomain)
}

func (s *subset) nearnessRank(domain string) int {
	if domain == s.cfg.FailureDomain {
		return -1
	}
	if i := slices.Index(s.cfg.NearDomains, domain); i >= 0 {
		return i
	}
	return len(s.cfg.NearDomains)
}

// chooseFromDomain chooses about quota replicas of one domain. If coverAll is set,
// every replica gets at least one node of this node's domain, so that none is idle.
func (s *subset) chooseFromDomain(replicas []hashedReplica, quota float64, coverAll bool) []hashedReplica {
	if float64(len(replicas)) <= quota {
		return replicas
	}
	if s.peerHashes == nil {
		return s.topRanked(replicas, int(math.Ceil(quota)))
	}
	cover := quota * float64(len(s.peerHashes)+1) / float64(len(replicas))
	if coverAll {
		cover = math.Ceil(cover)
	}
	var chosen []hashedReplica
	for _, r := range replicas {
		if s.inTopRanked(r.hash, roundCover(r.hash, cover)) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// roundCover rounds the cover, the number of nodes per replica, to an integer for
// one replica. It rounds up for a share of the replicas equal to the fraction.
func roundCover(replica uint64, cover float64) int {
	whole, fraction := math.Modf(cover)
	if rendezvous.Unit(rendezvous.Score(coverSalt, replica)) < fraction {
		whole++
	}
	return int(whole)
}

// inTopRanked reports whether this node is among the n nodes with the highest score
// for the replica.
func (s *subset) inTopRanked(replica uint64, n int) bool {
	nodeScore := rendezvous.Score(replica, s.nodeHash)
	for _, p := range s.peerHashes {
		if n <= 0 {
			break
		}
		if rendezvous.Score(replica, p) > nodeScore {
			n--
		}
	}
	return n > 0
}

// topRanked is the choice of a node that does not know its peers.
func (s *subset) topRanked(replicas []hashedReplica, n int) []hashedReplica {
	sorted := s.sortedByRank(replicas)
	return sorted[:min(n, len(sorted))]
}

// sortedByRank returns the replicas by descending score for this node. If all nodes
// had the same order, nodes that send round robin at the same rate would move
// through it together and hit each replica in bursts.
func (s *subset) sortedByRank(replicas []hashedReplica) []hashedReplica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b hashedReplica) int {
		return cmp.Compare(rendezvous.Score(s.nodeHash, b.hash), rendezvous.Score(s.nodeHash, a.hash))
	})
	return sorted
}
