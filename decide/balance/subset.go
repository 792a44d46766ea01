package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// coverSalt makes the rounding of a replica's cover independent of the scores of
// its nodes.
const roundingSalt = 0x5bd1e995

// hashedReplica is a replica of the service with the hash of its ID.
type hashedReplica struct {
	Replica
	idHash uint64
}

func hashReplicas(replicas []Replica) []hashedReplica {
	hashed := make([]hashedReplica, len(replicas))
	for i, r := range replicas {
		r.Slots = max(1, r.Slots)
		if r.Weight <= 0 {
			r.Weight = 1
		}
		hashed[i] = hashedReplica{r, rendezvous.Hash(r.ID)}
	}
	slices.SortFunc(hashed, func(a, b hashedReplica) int { return cmp.Compare(a.idHash, b.idHash) })
	return slices.CompactFunc(hashed, func(a, b hashedReplica) bool { return a.idHash == b.idHash })
}

func containsHash(replicas []hashedReplica, hash uint64) bool {
	_, found := slices.BinarySearchFunc(replicas, hash, func(r hashedReplica, hash uint64) int {
		return cmp.Compare(r.idHash, hash)
	})
	return found
}

// subset chooses the replicas that one node uses.
type subsetChooser struct {
	cfg        Config
	nodeHash   uint64
	peerHashes []uint64 // hashes of the other nodes of the domain; nil if unknown
}

// choose returns the replicas of the nearest failure domain and those to which
// requests spill.
func (s *subsetChooser) choose(replicas []hashedReplica) (near, spill []hashedReplica) {
	replicasByDomain := s.groupByNearness(replicas)
	if len(replicasByDomain) == 0 {
		return nil, nil
	}
	return s.chooseFromDomains(replicasByDomain)
}

// chooseFromDomains expects the failure domains nearest first.
func (s *subsetChooser) chooseFromDomains(replicasByDomain [][]hashedReplica) (near, spill []hashedReplica) {
	replicaCount := 0
	for _, domain := range replicasByDomain {
		replicaCount += len(domain)
	}
	if replicaCount <= useAllFactor*s.cfg.SubsetSize {
		return replicasByDomain[0], slices.Concat(replicasByDomain[1:]...)
	}
	subsetSize := float64(s.cfg.SubsetSize)
	near = s.chooseFromDomain(replicasByDomain[0], subsetSize*nearSubsetShare, true)
	replicasBySpillDomain := replicasByDomain[1:min(len(replicasByDomain), 1+s.cfg.SpillDomains)]
	spillSize := max(subsetSize*(1-nearSubsetShare), subsetSize-float64(len(replicasByDomain[0])))
	for _, domain := range replicasBySpillDomain {
		spill = append(spill, s.chooseFromDomain(domain, spillSize/float64(len(replicasBySpillDomain)), false)...)
	}
	return near, spill
}

// byNearness groups the replicas by failure domain, nearest first.
func (s *subsetChooser) groupByNearness(replicas []hashedReplica) [][]hashedReplica {
	byDomain := make(map[string][]hashedReplica)
	for _, r := range replicas {
		byDomain[r.FailureDomain] = append(byDomain[r.FailureDomain], r)
	}
	domainNames := make([]string, 0, len(byDomain))
	for name := range byDomain {
		domainNames = append(domainNames, name)
	}
	slices.SortFunc(domainNames, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.nearnessRank(a), s.nearnessRank(b)), cmp.Compare(s.domainRingDistance(a), s.domainRingDistance(b)))
	})
	replicasByDomain := make([][]hashedReplica, len(domainNames))
	for i, name := range domainNames {
		replicasByDomain[i] = byDomain[name]
	}
	return replicasByDomain
}

// ringDistance orders domains of the same nearness. All domains have a position on
// one ring, and a domain spills to the ones that follow it, so that each domain
// receives the spill of equally many others.
func (s *subsetChooser) domainRingDistance(domain string) uint64 {
	return rendezvous.Hash(domain) - rendezvous.Hash(s.cfg.FailureDomain)
}

func (s *subsetChooser) nearnessRank(domain string) int {
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
func (s *subsetChooser) chooseFromDomain(replicas []hashedReplica, targetCount float64, atLeastOneNode bool) []hashedReplica {
	if float64(len(replicas)) <= targetCount {
		return replicas
	}
	if s.peerHashes == nil {
		return s.topRankedReplicas(replicas, int(math.Ceil(targetCount)))
	}
	nodesPerReplica := targetCount * float64(len(s.peerHashes)+1) / float64(len(replicas))
	if atLeastOneNode {
		nodesPerReplica = math.Ceil(nodesPerReplica)
	}
	var chosen []hashedReplica
	for _, r := range replicas {
		if s.isAmongTopNodes(r.idHash, roundNodesPerReplica(r.idHash, nodesPerReplica)) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// roundCover rounds the cover, the number of nodes per replica, to an integer for
// one replica. It rounds up for a share of the replicas equal to the fraction.
func roundNodesPerReplica(replicaHash uint64, nodesPerReplica float64) int {
	rounded, fraction := math.Modf(nodesPerReplica)
	if rendezvous.ToUnitInterval(rendezvous.Score(roundingSalt, replicaHash)) < fraction {
		rounded++
	}
	return int(rounded)
}

// inTopRanked reports whether this node is among the n nodes with the highest score
// for the replica.
func (s *subsetChooser) isAmongTopNodes(replicaHash uint64, n int) bool {
	nodeScore := rendezvous.Score(replicaHash, s.nodeHash)
	for _, peerHash := range s.peerHashes {
		if n <= 0 {
			break
		}
		if rendezvous.Score(replicaHash, peerHash) > nodeScore {
			n--
		}
	}
	return n > 0
}

// topRanked is the choice of a node that does not know its peers.
func (s *subsetChooser) topRankedReplicas(replicas []hashedReplica, n int) []hashedReplica {
	sorted := s.sortedByRank(replicas)
	return sorted[:min(n, len(sorted))]
}

// sortedByRank returns the replicas by descending score for this node. If all nodes
// had the same order, nodes that send round robin at the same rate would move
// through it together and hit each replica in bursts.
func (s *subsetChooser) sortedByRank(replicas []hashedReplica) []hashedReplica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b hashedReplica) int {
		return cmp.Compare(rendezvous.Score(s.nodeHash, b.idHash), rendezvous.Score(s.nodeHash, a.idHash))
	})
	return sorted
}
