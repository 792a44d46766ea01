package targets

import (
	"sync"

	"github.com/cicadatack/cicadatack/route/replicalist"
)

// replicaTable finds listed replicas by id.
type replicaTable struct {
	mu       sync.Mutex
	replicas map[string]*replicalist.Replica
	maxConns int
}

func newReplicaTable() *replicaTable {
	return &replicaTable{replicas: map[string]*replicalist.Replica{}}
}

// domainsByID returns the failure domains of replicas.
func domainsByID(list []*replicalist.Replica) map[string]string {
	domains := make(map[string]string, len(list))
	for _, r := range list {
		domains[r.ID] = r.Domain
	}
	return domains
}

// incarnationsByID returns the incarnations of replicas.
func incarnationsByID(list []*replicalist.Replica) map[string]int64 {
	incarnations := make(map[string]int64, len(list))
	for _, r := range list {
		incarnations[r.ID] = r.Incarnation
	}
	return incarnations
}

func (s *replicaTable) set(list []*replicalist.Replica, maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
	s.replicas = make(map[string]*replicalist.Replica, len(list))
	for _, r := range list {
		s.replicas[r.ID] = r
	}
}

func (s *replicaTable) get(id string) (*replicalist.Replica, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[id], s.maxConns
}
