package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// roundingSalt is the rendezvous key that roundNodesPerReplica uses. Because no
// other score is computed with this key, the rounding is independent of the
// rendezvous scores by which replicas select nodes.
const roundingSalt = 0x5bd1e995

// hashedReplica is a replica of the service with the hash of its ID.
type hashedReplica struct {
	Replica
	idHash uint64
}

// hashReplicas returns the replicas sorted by the hash of their ID, without
// duplicates. Slots and weights that are not set become 1, and more slots than maxSlots become
// maxSlots, so that no sum of slots exceeds an int.
func hashReplicas(replicas []Replica) []hashedReplica {
	hashed := make([]hashedReplica, len(replicas))
	for i, r := range replicas {
		r.Slots = min(max(1, r.Slots), maxSlots)
		if !(r.Weight > 0 && r.Weight <= maxWeight) {
			r.Weight = 1
		}
		hashed[i] = hashedReplica{r, rendezvous.Hash(r.ID)}
	}
	slices.SortFunc(hashed, func(a, b hashedReplica) int { return cmp.Compare(a.idHash, b.idHash) })
	return slices.CompactFunc(hashed, func(a, b hashedReplica) bool { return a.idHash == b.idHash })
}

const (
	// maxSlots is more than any replica has.
	maxSlots = 1 << 20
	// maxWeight is more than the speed of any replica. A larger weight, or one that is not a
	// number, would make the capacity of the tier infinite or not a number.
	maxWeight = 1e6
)

func containsHash(replicas []hashedReplica, hash uint64) bool {
	_, found := slices.BinarySearchFunc(replicas, hash, func(r hashedReplica, hash uint64) int {
		return cmp.Compare(r.idHash, hash)
	})
	return found
}

// subsetChooser chooses the replicas that one node uses.
type subsetChooser struct {
	cfg        Config
	nodeHash   uint64
	peerHashes []uint64 // hashes of the IDs of the node's peers; nil if the peers are unknown
}

// choose chooses the subset from all replicas of the service. It returns the chosen
// replicas of the nearest failure domain and the chosen replicas of other domains.
func (s *subsetChooser) choose(replicas []hashedReplica) (nearReplicas, spillReplicas []hashedReplica) {
	replicasByDomain := s.groupByNearness(replicas)
	if len(replicasByDomain) == 0 {
		return nil, nil
	}
	return s.chooseFromDomains(replicasByDomain)
}

// chooseFromDomains does the same as choose for replicas that are already grouped by
// failure domain, nearest domain first.
func (s *subsetChooser) chooseFromDomains(replicasByDomain [][]hashedReplica) (nearReplicas, spillReplicas []hashedReplica) {
	replicaCount := 0
	for _, domain := range replicasByDomain {
		replicaCount += len(domain)
	}
	if replicaCount <= useAllReplicasFactor*s.cfg.SubsetSize {
		return replicasByDomain[0], slices.Concat(replicasByDomain[1:]...)
	}
	subsetSize := float64(s.cfg.SubsetSize)
	nearReplicas = s.chooseFromDomain(replicasByDomain[0], subsetSize*nearSubsetShare, true)
	replicasBySpillDomain := replicasByDomain[1:min(len(replicasByDomain), 1+s.cfg.SpillDomains)]
	spillSize := max(subsetSize*(1-nearSubsetShare), subsetSize-float64(len(replicasByDomain[0])))
	for _, domain := range replicasBySpillDomain {
		spillReplicas = append(spillReplicas, s.chooseFromDomain(domain, spillSize/float64(len(replicasBySpillDomain)), false)...)
	}
	return nearReplicas, spillReplicas
}

// groupByNearness groups the replicas by failure domain, nearest domain first.
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

// domainRingDistance returns the distance by which domains of the same nearness
// are ordered. Every domain has a position on a ring, given by its hash. The
// requests of a domain spill to the next domains on the ring. Therefore each
// domain receives spilled requests from equally many other domains.
func (s *subsetChooser) domainRingDistance(domain string) uint64 {
	return rendezvous.Hash(domain) - rendezvous.Hash(s.cfg.FailureDomain)
}

// nearnessRank returns the rank of a failure domain: lower ranks are nearer.
func (s *subsetChooser) nearnessRank(domain string) int {
	if domain == s.cfg.FailureDomain {
		return -1
	}
	if i := slices.Index(s.cfg.DomainsByNearness, domain); i >= 0 {
		return i
	}
	return len(s.cfg.DomainsByNearness)
}

// chooseFromDomain chooses about targetCount replicas of one domain. If
// everyReplicaGetsNode is set, the number of nodes per replica is rounded up. Each
// replica of the domain is then used by the node itself or by one of its peers, and
// no replica is idle.
func (s *subsetChooser) chooseFromDomain(replicas []hashedReplica, targetCount float64, everyReplicaGetsNode bool) []hashedReplica {
	if float64(len(replicas)) <= targetCount {
		return replicas
	}
	if s.peerHashes == nil {
		return s.topRankedReplicas(replicas, int(math.Ceil(targetCount)))
	}
	nodesPerReplica := targetCount * float64(len(s.peerHashes)+1) / float64(len(replicas))
	if everyReplicaGetsNode {
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

// roundNodesPerReplica rounds the number of nodes per replica up or down for one
// replica. The fractional part of the number is the share of the replicas for
// which the number is rounded up.
func roundNodesPerReplica(replicaHash uint64, nodesPerReplica float64) int {
	rounded, fraction := math.Modf(nodesPerReplica)
	if rendezvous.ToUnitInterval(rendezvous.Score(roundingSalt, replicaHash)) < fraction {
		rounded++
	}
	return int(rounded)
}

// isAmongTopNodes reports whether this node is among the n nodes with the highest
// rendezvous score for the replica.
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

// topRankedReplicas returns the n replicas with the highest rendezvous score for
// this node. A node that does not know its peers chooses its replicas in this way.
func (s *subsetChooser) topRankedReplicas(replicas []hashedReplica, n int) []hashedReplica {
	sorted := s.sortedByRendezvousScore(replicas)
	return sorted[:min(n, len(sorted))]
}

// sortedByRendezvousScore returns the replicas by descending rendezvous score for this node,
// an order that differs between nodes. If all nodes used the same order, nodes
// that send round robin at the same rate would all send to the same replica at the
// same time. Each replica would receive its requests in bursts.
func (s *subsetChooser) sortedByRendezvousScore(replicas []hashedReplica) []hashedReplica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b hashedReplica) int {
		return cmp.Compare(rendezvous.Score(s.nodeHash, b.idHash), rendezvous.Score(s.nodeHash, a.idHash))
	})
	return sorted
}
