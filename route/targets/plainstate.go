package targets

import (
	"sync"

	"github.com/cicadatack/cicadatack/route/replicalist"
)

// plainState is the list that a Plain resolves choices with.
type plainState struct {
	mu       sync.Mutex
	replicas map[string]*replicalist.Replica
	conns    int
}

func newPlainState() *plainState {
	return &plainState{replicas: map[string]*replicalist.Replica{}}
}

func (s *plainState) set(list []*replicalist.Replica, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = conns
	s.replicas = make(map[string]*replicalist.Replica, len(list))
	for _, r := range list {
		s.replicas[r.ID] = r
	}
}

func (s *plainState) get(id string) (*replicalist.Replica, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[id], s.conns
}
