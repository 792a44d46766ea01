package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A VM is replaced and comes back under its name. The others hold the first
// one's record; the newcomer's is newer, since its incarnation is its start.
// Where the clock went back it hears of its own earlier life and goes above.
func TestRestartSupersedesItsPredecessor(t *testing.T) {
	for name, shift := range map[string]time.Duration{"clock goes on": time.Minute, "clock went back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 5, 2).settled()
			before := s.machines["vm-0001"].Self().Incarnation
			s.start("vm-0001", "fd-1", s.now.Add(shift).UnixMilli())
			s.until("the new incarnation everywhere", 40, func() bool {
				for _, n := range s.names {
					if u, _ := s.machines[n].Member("vm-0001"); u.Incarnation <= before || u.State != Live {
						return false
					}
				}
				return true
			})
		})
	}
}

// The link between two nodes breaks both ways while all others work. One
// suspects the other; the suspect hears of it from a third node and refutes.
// Nobody may hold it for gone, or callers lose a node that serves.
func TestSuspicionIsRefuted(t *testing.T) {
	for seed := range uint64(30) {
		cutOneLink(t, seed)
	}
}

func cutOneLink(t *testing.T, seed uint64) {
	s := newSeededSim(t, 6, 2, seed).settled()
	s.lost = func(from, to string) bool { return from+to == "vm-0000vm-0001" || from+to == "vm-0001vm-0000" }
	suspected, gone := false, false
	s.watch = func(_ string, c Change) {
		suspected = suspected || c.New.State == Suspect
		gone = gone || c.New.State == Gone
	}
	s.until("a suspicion", 60, func() bool { return suspected })
	for range 120 {
		s.tick()
	}
	s.lost = func(string, string) bool { return false }
	s.settled()
	if gone {
		t.Errorf("seed %d: a node that answers others was declared gone", seed)
	}
}

// A node dies without a word. A near peer fails to reach it twice, suspects
// it, and after the time to refute it is gone on every node.
func TestDeadNodeIsGoneEverywhere(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		s := newSim(t, n, 3).settled()
		s.down["vm-0001"] = true
		suspect := s.until("suspected on some node", 60, func() bool {
			u, _ := s.machines["vm-0000"].Member("vm-0001")
			return u.State != Live
		})
		took := suspect + s.until("gone everywhere", 120, func() bool { return s.all("vm-0001", Gone) })
		t.Logf("%d nodes: suspect after %d intervals, gone everywhere after %d", n, suspect, took)
	}
}

// A node's process dies and its VM refuses connections. Callers who have its address
// in an entry answer are sent there until the nodes suspect it. The first refusal is
// enough; a VM that is silent may have lost a packet, so there it takes two tries.
func TestRefusedConnectionIsSuspectedAtOnce(t *testing.T) {
	mean := func(refuses bool) float64 {
		const seeds = 30
		sum := 0
		for seed := range uint64(seeds) {
			s := newSeededSim(t, 6, 3, seed).settled()
			s.refuses = refuses
			s.down["vm-0001"] = true
			sum += s.until("suspected on all", 60, func() bool { return !s.liveOnAny("vm-0001") })
		}
		return float64(sum) / seeds
	}
	silent, refused := mean(false), mean(true)
	t.Logf("suspected on all of six after %.2f intervals, %.2f if connections are refused", silent, refused)
	if refused > silent-0.5 || silent > 2.5 {
		t.Error("a refusal must save most of the second try's interval, and the news go at once")
	}
	m := newSim(t, 5, 1).settled().machines["vm-0000"]
	m.Step(m.lastTick, Failed{Peer: "vm-0001", Refused: true})
	if countState(m, Suspect) != 1 {
		t.Error("a refused connection makes no suspicion")
	}
}

// A failure domain of sixty nodes in three dies at once. Every node that finds a peer
// silent tells others at once; the exchanges that this costs must stay a small
// multiple of the regular one an interval, or the rest would be busy with the news.
func TestLossOfADomainMakesNoStorm(t *testing.T) {
	s := newSim(t, 60, 3).settled()
	s.refuses = true
	for i, name := range s.names {
		s.down[name] = i%3 == 1
	}
	clear(s.contacts)
	intervals := s.until("none of the dead is live anywhere", 60, func() bool {
		for _, name := range s.names {
			if s.down[name] && s.liveOnAny(name) {
				return false
			}
		}
		return true
	})
	begun := 0
	for _, n := range s.contacts {
		begun += n
	}
	mean := float64(begun) / float64(40*intervals)
	t.Logf("none of 20 live on any of 40 after %d intervals, %.1f exchanges a node and interval", intervals, mean)
	if mean > 3 {
		t.Errorf("%.1f exchanges a node and interval, want about one", mean)
	}
}

// Sixty VMs join within one interval in the dawn rush. Every node must know
// every other soon, while each message keeps to its budget of news.
func TestRushOfJoinsKeepsToTheBudget(t *testing.T) {
	s := newSim(t, 3, 3).settled()
	for i := 3; i < 63; i++ {
		s.add(nodeName(i), fmt.Sprintf("fd-%d", i%3))
	}
	s.biggest = 0
	took := s.until("all live on all", 60, s.allLive)
	if s.biggest > 400 {
		t.Fatalf("a message carried %d bytes of news, want at most 400", s.biggest)
	}
	t.Logf("60 joins known to all after %d intervals, largest news %d bytes", took, s.biggest)
}

// A node drains. Every other must stop naming it in entry answers within
// seconds, so the news is relayed at once and does not wait for the interval.
func TestDrainIsSeenByAll(t *testing.T) {
	s := newSim(t, 60, 3).settled()
	s.step("vm-0007", Drain{})
	told := 0
	for _, n := range s.names {
		if u, _ := s.machines[n].Member("vm-0007"); u.State == Draining {
			told++
		}
	}
	if told < 40 {
		t.Errorf("%d of 60 nodes were told at once, want two thirds", told)
	}
	took := s.until("draining everywhere", 3, func() bool { return s.all("vm-0007", Draining) })
	t.Logf("drain seen by 60 nodes after %d intervals", took)
}

// Two regions lose each other for two minutes. Each side goes on and drops the
// other. When the link is back the halves find each other through the list,
// and on the way no node vanishes from its own side's view.
func TestPartitionHeals(t *testing.T) {
	longest := 0
	for seed := range uint64(15) {
		for _, wait := range []int{0, 60} {
			longest = max(longest, partition(t, seed, wait))
		}
	}
	t.Logf("healed after at most %d intervals", longest)
}

// partition heals some intervals after both halves settled, and returns how
// long it took until all were live on all.
func partition(t *testing.T, seed uint64, wait int) int {
	s := newSeededSim(t, 20, 2, seed).settled()
	side := func(name string) string { u, _ := s.machines[name].Member(name); return u.FailureDomain }
	s.lost = func(from, to string) bool { return side(from) != side(to) }
	s.until("the halves dropped each other", 120, func() bool {
		return countState(s.machines["vm-0000"], Gone) == 10 && countState(s.machines["vm-0001"], Gone) == 10
	})
	for range wait {
		s.tick()
	}
	s.lost = func(string, string) bool { return false }
	s.watch = func(node string, c Change) {
		if c.New.State == Gone && side(node) == c.New.FailureDomain {
			t.Errorf("seed %d, %d intervals: %s dropped %s of its own side", seed, wait, node, c.New.Name)
		}
	}
	return s.until("all live again", 120, s.allLive)
}

func countState(m *Machine, state State) int {
	n := 0
	for _, u := range m.Members() {
		if u.State == state {
			n++
		}
	}
	return n
}

// A node is frozen, or hears nobody, for minutes while it holds a suspicion.
// It is the one that was away: it must not declare the others gone.
func TestNodeThatWasAwayDeclaresNobodyGone(t *testing.T) {
	for _, away := range []string{"frozen", "cut off"} {
		t.Run(away, func(t *testing.T) {
			s := newSim(t, 5, 1).settled()
			m := s.machines["vm-0000"]
			m.Step(s.now, Failed{Peer: "vm-0001"})
			if countState(m, Suspect) != 0 {
				t.Fatal("one failure makes a suspicion")
			}
			m.Step(s.now, Failed{Peer: "vm-0001"})
			if countState(m, Suspect) != 1 {
				t.Fatal("two failures in a row make no suspicion")
			}
			for i := range 100 {
				now := s.now.Add(time.Duration(i+1) * interval)
				if away == "frozen" {
					// A peer's message is the first thing that it meets.
					now = s.now.Add(100 * interval)
					m.Step(now, Received{Message: Message{Sender: s.machines["vm-0002"].Self()}})
				}
				batch := m.Step(now, Tick{})
				if away == "frozen" {
					break
				}
				for _, send := range batch.Sends {
					m.Step(now, Failed{Peer: send.To.Name})
				}
			}
			if gone := countState(m, Gone); gone != 0 {
				t.Fatalf("%d members declared gone", gone)
			}
		})
	}
}

// The platform says that a VM leaves; it is drained. The VM is replaced under
// its name while the list still shows the old state. The new node must not be
// drained by a list that lags.
func TestListThatLagsDoesNotDrainTheSuccessor(t *testing.T) {
	s := newSim(t, 4, 2).settled()
	leaving := append([]VM(nil), s.vms...)
	leaving[2].Leaving = true
	s.step("vm-0000", Listed{VMs: leaving})
	s.until("draining everywhere", 5, func() bool { return s.all("vm-0002", Draining) })
	s.start("vm-0002", "fd-0", s.now.Add(time.Minute).UnixMilli())
	s.until("the successor live", 30, func() bool { return s.all("vm-0002", Live) })
	for _, n := range s.names {
		s.step(n, Listed{VMs: leaving})
	}
	for range 20 {
		s.tick()
	}
	if !s.all("vm-0002", Live) {
		t.Fatal("the successor was drained by the old list")
	}
}

// Over a while a node exchanges with every other, and more often with those
// of its own failure domain.
func TestNearPeersMoreOftenAllReached(t *testing.T) {
	s := newSim(t, 12, 3).settled()
	s.contacts = map[string]int{}
	for range 120 {
		s.tick()
	}
	near, far := 0, 0
	for i := 1; i < 12; i++ {
		n := s.contacts["vm-0000>"+nodeName(i)]
		if n == 0 {
			t.Errorf("%s was never reached", nodeName(i))
		}
		if i%3 == 0 {
			near += n
		} else {
			far += n
		}
	}
	if near/3 <= far/8 {
		t.Fatalf("a near peer was reached %d times, a far one %d", near/3, far/8)
	}
}

// In a large failure domain most exchanges go to peers met a short time ago,
// whose connections are still open; else each would open one. Over time all
// peers have their turn, or a dead one could go unnoticed.
func TestMostExchangesFindAnOpenConnection(t *testing.T) {
	s := newSim(t, 60, 1).settled()
	last, fresh, total, tick := map[string]int{}, 0, 0, 0
	s.contact = func(from, to string) {
		if from != "vm-0000" {
			return
		}
		total++
		if at, met := last[to]; !met || tick-at > 40 {
			fresh++
		}
		last[to] = tick
	}
	for tick = range 1400 {
		s.tick()
	}
	if len(last) != 59 {
		t.Errorf("%d of 59 peers had a turn", len(last))
	}
	if fresh*5 > total {
		t.Errorf("%d of %d exchanges opened a connection", fresh, total)
	}
	t.Logf("%d of %d exchanges opened a connection", fresh, total)
}

// Whatever is lost, cut, killed and restarted for a while, once the network
// works again all views agree and hold exactly the nodes that run as live.
func TestViewsAgreeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "nodes")
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		s := newSim(t, n, rapid.IntRange(1, 3).Draw(rt, "domains"))
		random := rand.New(rand.NewPCG(seed, 1))
		s.lost = func(string, string) bool { return random.Float64() < loss }
		for range rapid.IntRange(1, 40).Draw(rt, "intervals") {
			victim := s.names[random.IntN(n)]
			switch random.IntN(8) {
			case 0:
				s.down[victim] = true
			case 1:
				s.start(victim, s.vms[random.IntN(n)].FailureDomain, s.now.UnixMilli())
			}
			s.tick()
		}
		s.lost = func(string, string) bool { return false }
		for i, name := range s.names {
			if s.down[name] {
				s.start(name, s.vms[i].FailureDomain, s.now.UnixMilli())
			}
		}
		s.until("all live", 300, s.allLive)
		s.until("equal digests", 100, s.equalDigests)
	})
}

func (s *sim) equalDigests() bool {
	for _, name := range s.names {
		if s.machines[name].Digest() != s.machines[s.names[0]].Digest() {
			return false
		}
	}
	return true
}

// State names appear in logs; each state has one.
func TestStateNames(t *testing.T) {
	for s := Joining; s <= Gone; s++ {
		if s.String() == "unknown" || strings.TrimSpace(s.String()) == "" {
			t.Errorf("state %d has no name", s)
		}
	}
}

// The bytes of news must stay flat as the fleet grows. One node of 30 and of
// 100 dies and is replaced; what each node sends about it in all, and the
// longest wait for the news, are printed.
func TestNewsOfOneReplacementStaysSmall(t *testing.T) {
	for _, n := range []int{30, 100} {
		s := newSim(t, n, 3).settled()
		for range 60 {
			s.tick()
		}
		s.sent, s.tables = 0, 0
		for range 60 {
			s.tick()
		}
		quiet := s.sent
		s.down["vm-0001"] = true
		gone := s.until("gone everywhere", 120, func() bool { return s.all("vm-0001", Gone) })
		s.start("vm-0001", "fd-1", s.now.UnixMilli())
		live := s.until("live everywhere", 60, func() bool { return s.all("vm-0001", Live) })
		for range 60 {
			s.tick()
		}
		perNode := s.sent / n
		if quiet != 0 {
			t.Errorf("%d nodes send %d bytes of news when there is none", n, quiet)
		}
		// The newcomer asks until it is answered.
		if s.tables > 2 {
			t.Errorf("%d nodes: one replacement made %d whole views travel", n, s.tables)
		}
		if perNode > 6000 {
			t.Errorf("%d nodes send %d bytes each about one replacement", n, perNode)
		}
		t.Logf("%d nodes: %d bytes of news sent by each; gone after %d intervals, back after %d", n, perNode, gone, live)
	}
}

// A half that was cut off says that a live member is gone. Taken at its word,
// the member would vanish from entry answers until it refuted; it must be held
// for a suspect, and be gone only once it lets the time pass.
func TestSecondHandDeathIsASuspicionFirst(t *testing.T) {
	s := newSim(t, 4, 1).settled()
	m := s.machines["vm-0000"]
	dead := s.machines["vm-0001"].Self()
	dead.State = Gone
	news := Message{Sender: s.machines["vm-0002"].Self(), Updates: []Member{dead}}
	m.Step(s.now, Received{Message: news})
	if u, _ := m.Member("vm-0001"); u.State != Suspect {
		t.Fatalf("state %v, want suspect", u.State)
	}
	s.down["vm-0001"] = true
	s.until("gone everywhere", 30, func() bool { return s.all("vm-0001", Gone) })
}

// The network loses everything. Failed exchanges make suspicions, and these
// are relayed; that must not make more exchanges without end.
func TestFailuresMakeNoStorm(t *testing.T) {
	s := newSim(t, 12, 2).settled()
	s.lost = func(string, string) bool { return true }
	total := 0
	s.contact = func(string, string) { total++ }
	for range 30 {
		s.tick()
	}
	if perInterval := float64(total) / (30 * 12); perInterval > 3 {
		t.Errorf("%.1f exchanges an interval by each node, want about one", perInterval)
	} else {
		t.Logf("%.1f exchanges an interval by each node", perInterval)
	}
}

// A node has a bad link: rumors that everyone else has heard and dropped did
// not reach it. What it holds wrongly must be put right by the next exchange,
// whatever became of the rumors.
func TestOldNewsIsPutRightWithoutRumors(t *testing.T) {
	s := newSim(t, 5, 1).settled()
	m := s.machines["vm-0000"]
	peer, other := s.machines["vm-0002"].Self(), s.machines["vm-0001"].Self()
	ask := func(updates ...Member) []Member {
		return m.Step(s.now, Received{Message: Message{Sender: peer, Updates: updates}}).Reply.Updates
	}
	wornOut := func() {
		for range 40 {
			ask()
		}
	}

	refuted := other
	refuted.Incarnation++
	ask(refuted)
	wornOut()
	suspected := other
	suspected.State = Suspect
	if got := ask(suspected); !slices.Contains(got, refuted) {
		t.Errorf("an old suspicion is answered with %v, want the refutation", got)
	}

	m.Step(s.now, Failed{Peer: "vm-0001"})
	m.Step(s.now, Failed{Peer: "vm-0001"})
	wornOut()
	refuted.State = Suspect
	if got := ask(); !slices.Contains(got, refuted) {
		t.Errorf("a running suspicion is not named any more: %v", got)
	}

	s.down["vm-0001"] = true
	s.until("gone everywhere", 60, func() bool { return s.all("vm-0001", Gone) })
	table := m.Step(s.now, Received{Message: Message{Sender: peer, WantTable: true}}).Reply.Table
	if !slices.ContainsFunc(table, func(u Member) bool { return u.Name == "vm-0001" && u.State == Gone }) {
		t.Error("a whole view says nothing of a member that is gone")
	}
}

// A node needs loans of eight peers and its callers wait. It goes on asking the
// most urgent first, on half of the turns, and with more on all but the far one, so
// that it is heard of beyond its failure domain; with two to ask it leaves the near
// turns to the near peers.
func TestConcernedPeersComeFirst(t *testing.T) {
	for _, c := range []struct{ needed, asked int }{{11, 12}, {8, 8}, {2, 4}, {0, 0}} {
		s := newSim(t, 12, 2).settled()
		var needed []string
		for i := range c.needed {
			needed = append(needed, nodeName(11-i))
		}
		m := s.machines[nodeName(0)]
		m.cfg.Concerned = func() []string { return needed }
		asked := 0
		for range 16 {
			s.now = s.now.Add(interval)
			sends := m.Step(s.now, Tick{}).Sends
			if len(needed) > 0 && slices.ContainsFunc(sends, func(send Send) bool { return send.To.Name == needed[0] }) {
				asked++
				needed = append(needed[1:], needed[0])
			}
		}
		if asked < c.asked || asked > c.asked+2 {
			t.Errorf("%d of 16 exchanges with %d needed peers, want %d", asked, c.needed, c.asked)
		}
	}
}

// Guards against a node that no other listens to any more: one has told an incarnation of it that no
// start has, and its refutation overflows.
func TestImpossibleIncarnations(t *testing.T) {
	s := newSim(t, 5, 2).settled()
	m := s.machines["vm-0000"]
	before := m.Self()
	for _, odd := range []int64{math.MaxInt64, math.MaxInt64 - 1, MaxIncarnation + 1} {
		sender, _ := m.Member("vm-0001")
		own, other, unknown := before, sender, Member{Name: "vm-9999", Address: "a", Incarnation: odd, State: Live}
		own.Incarnation, own.State = odd, Suspect
		other.Incarnation, other.State = odd, Gone
		m.Step(s.now, Received{Message{Sender: sender, Updates: []Member{own, other, unknown}, Table: []Member{own, other, unknown}}})
	}
	if self := m.Self(); self.Incarnation != before.Incarnation {
		t.Errorf("incarnation %d, want %d", self.Incarnation, before.Incarnation)
	}
	if _, known := m.Member("vm-9999"); known {
		t.Error("a node of an impossible incarnation is known")
	}
	s.settled()
}
