package fleet

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// shareBudget bounds the bytes of shares in one message.
	shareBudget = 256
	// shareOverhead is the encoded size of a share without its team's name.
	shareOverhead = 9
)

// Share is this node's demand for one team's limit.
type Share struct {
	Team string
	// TokensPerSecond that the team's callers ask of this node.
	TokensPerSecond float64
	// Homes names the nodes that split the team's limit; the share is sent to
	// these only.
	Homes []string
}

// shareShard holds the shares that this node sends.
type shareShard struct {
	sync.Mutex
	list    []Share
	homes   []string
	handles []func(peer string, demand map[string]float64)
	// next is where the last message's shares ended.
	next int
}

// SetShares replaces what this node tells the home nodes of its teams. Shares
// that do not fit into one message take turns.
func (f *Fleet) SetShares(shares []Share) {
	f.shares.set(f.cfg.Name, shares)
}

// OnShares has handle called with the demand of a peer, by team in tokens a
// second, whenever the peer tells it. handle must return soon.
func (f *Fleet) OnShares(handle func(peer string, demand map[string]float64)) {
	f.shares.Lock()
	defer f.shares.Unlock()
	f.shares.handles = append(f.shares.handles, handle)
}

func (s *shareShard) set(self string, shares []Share) {
	list := slices.Clone(shares)
	slices.SortFunc(list, func(a, b Share) int { return cmp.Compare(a.Team, b.Team) })
	var homes []string
	for _, share := range list {
		for _, home := range share.Homes {
			if home != self {
				homes = append(homes, home)
			}
		}
	}
	slices.Sort(homes)
	s.Lock()
	defer s.Unlock()
	s.list = list
	s.homes = slices.Compact(homes)
}

// concerned names the peers that split a limit with this node. The slice is
// replaced, never changed.
func (s *shareShard) concerned() []string {
	s.Lock()
	defer s.Unlock()
	return s.homes
}

// forPeer picks the shares of one message.
func (s *shareShard) forPeer(peer string) []Share {
	s.Lock()
	defer s.Unlock()
	var picked []Share
	room := shareBudget
	start := s.next
	for i := range s.list {
		at := (start + i) % len(s.list)
		share := s.list[at]
		if !slices.Contains(share.Homes, peer) {
			continue
		}
		room -= shareOverhead + len(share.Team)
		if room < 0 {
			break
		}
		picked = append(picked, share)
		s.next = at + 1
	}
	return picked
}

func (s *shareShard) heard(peer string, demand map[string]float64) {
	if len(demand) == 0 {
		return
	}
	s.Lock()
	handles := s.handles
	s.Unlock()
	for _, handle := range handles {
		handle(peer, demand)
	}
}
