package endpointrate

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// senderShare is the share of a limit that the senders divide. The rest is for probes,
	// and for nodes that don't agree yet on who is a sender.
	senderShare = 0.8
	// burstTime is the time for which a sender saves requests that it has not sent, if its
	// rate allows more than one in this time.
	burstTime = 250 * time.Millisecond
	// probeShare is the share of a limit that the probes of all other nodes take.
	probeShare = 0.1
	// probeWindow is how long a node may use a probe.
	probeWindow = time.Second
	// minRequestsPerSecond is assumed for a replica that states a lower limit, so that some
	// node learns when the limit ends.
	minRequestsPerSecond = 0.1
	// maxRequestsPerSecond stands for any higher limit.
	maxRequestsPerSecond = 1e9
	// creditRounding is more than the rounding errors of credit amount to.
	creditRounding = time.Microsecond
	// ValidFor is how long a node passes on what it heard, and how long it remembers that a
	// limit has ended, so that an older statement of another node does not revive the limit.
	ValidFor = 10 * time.Second
)

// Statement is what an answer of a replica says of its limit.
type Statement struct {
	Replica string
	// Limited says that the replica states a limit. RequestsPerSecond is for all nodes
	// together.
	Limited           bool
	RequestsPerSecond float64
	// Age is the time since the answer arrived.
	Age time.Duration
}

// valid reports whether a node could have made the statement.
func (s Statement) valid() bool {
	return s.Age >= 0 && s.Age <= ValidFor && s.RequestsPerSecond >= 0
}

// limit is the last statement of a replica, with what this node may still send.
type limit struct {
	statedAt          time.Time
	limited           bool
	requestsPerSecond float64

	// isSender is set if this node is a sender. rate is then what it may send, in requests
	// per second. credit is how many requests it may send as of creditAt: one at most, or
	// what the rate allows in burstTime.
	isSender bool
	rate     float64
	credit   float64
	creditAt time.Time
	// probeAt is the time of the next probe of a node that is not a sender, and probePeriod
	// the mean time between two probes.
	probeAt     time.Time
	probePeriod time.Duration
}

// Limiter decides when one node may send to the replicas of a service. It is not safe for
// concurrent use.
type Limiter struct {
	node    Node
	nodes   []Node
	domains map[string]string // the failure domain of each listed replica
	limits  map[string]*limit
	random  *rand.Rand
}

// New returns a Limiter of a node. Each node must pass a different seed, so that nodes don't
// probe at the same time.
func New(node Node, seed uint64) *Limiter {
	return &Limiter{node: node, nodes: []Node{node}, domains: map[string]string{}, limits: map[string]*limit{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetNodes replaces the list of nodes that may send to the replicas, each listed once. This
// node counts as one of them in any case.
func (l *Limiter) SetNodes(now time.Time, nodes []Node) {
	if !slices.Contains(nodes, l.node) {
		nodes = append(slices.Clone(nodes), l.node)
	}
	if slices.Equal(nodes, l.nodes) {
		return
	}
	l.nodes = nodes
	for replica := range l.limits {
		l.split(now, replica)
	}
}

// SetReplicas replaces the list of replicas, with their failure domains. Limits of other
// replicas are forgotten.
func (l *Limiter) SetReplicas(domains map[string]string) {
	l.domains = domains
	for replica := range l.limits {
		if _, listed := domains[replica]; !listed {
			delete(l.limits, replica)
		}
	}
}

// Observe records a statement that arrived at this node or that another node passed on. It
// reports whether the replica's limit begins, changes or ends by it. A statement that is older
// than what is known, or that no node would pass on, changes nothing.
func (l *Limiter) Observe(now time.Time, s Statement) bool {
	if _, listed := l.domains[s.Replica]; !listed || !s.valid() {
		return false
	}
	known := l.limits[s.Replica]
	statedAt := now.Add(-s.Age)
	switch {
	case known == nil && !s.Limited:
		return false
	case known == nil:
		known = &limit{}
		l.limits[s.Replica] = known
	case statedAt.Before(known.statedAt):
		return false
	}
	rate := min(max(s.RequestsPerSecond, minRequestsPerSecond), maxRequestsPerSecond)
	changed := known.limited != s.Limited || s.Limited && known.requestsPerSecond != rate
	known.statedAt = statedAt
	switch {
	case !s.Limited:
		*known = limit{statedAt: statedAt} // a later limit starts without saved requests
	case changed:
		known.limited, known.requestsPerSecond = true, rate
		l.split(now, s.Replica)
	}
	return changed
}

// split works out this node's part of a replica's limit.
func (l *Limiter) split(now time.Time, replica string) {
	known := l.limits[replica]
	if !known.limited {
		return
	}
	known.refill(now)
	names := senders(replica, l.domains[replica], known.requestsPerSecond, l.nodes)
	wasSender := known.isSender
	known.isSender = slices.Contains(names, l.node.Name)
	if known.isSender {
		known.rate = senderShare * known.requestsPerSecond / float64(len(names))
		if !wasSender {
			known.credit, known.creditAt = 0, now
		}
		return
	}
	known.rate = 0
	others := float64(len(l.nodes) - len(names))
	known.probePeriod = time.Duration(others / (probeShare * known.requestsPerSecond) * float64(time.Second))
	if wasSender || known.probeAt.IsZero() {
		known.probeAt = now.Add(time.Duration(l.random.Float64() * float64(known.probePeriod)))
	}
}

// refill brings credit up to date.
func (k *limit) refill(now time.Time) {
	if elapsed := now.Sub(k.creditAt).Seconds(); elapsed > 0 {
		k.credit = min(max(1, k.rate*burstTime.Seconds()), k.credit+k.rate*elapsed)
	}
	k.creditAt = now
}

// MaySend reports whether this node may send a request to a replica now.
func (l *Limiter) MaySend(now time.Time, replica string) bool {
	known := l.limits[replica]
	if known == nil || !known.limited {
		return true
	}
	if known.isSender {
		known.refill(now)
		return known.credit >= 1
	}
	l.skipMissedProbe(now, known)
	return !now.Before(known.probeAt)
}

// NextSendAt returns the earliest time, from now on, at which this node may send to a replica.
func (l *Limiter) NextSendAt(now time.Time, replica string) time.Time {
	if l.MaySend(now, replica) {
		return now
	}
	known := l.limits[replica]
	if !known.isSender {
		return known.probeAt
	}
	missing := time.Duration((1 - known.credit) / known.rate * float64(time.Second))
	return now.Add(missing + creditRounding)
}

// skipMissedProbe plans the next probe if the last one was not used in time.
func (l *Limiter) skipMissedProbe(now time.Time, known *limit) {
	missed := now.Sub(known.probeAt)
	if missed < probeWindow {
		return
	}
	known.probeAt = known.probeAt.Add(missed / known.probePeriod * known.probePeriod)
	for now.Sub(known.probeAt) >= probeWindow {
		l.planProbe(known)
	}
}

// planProbe moves the next probe by one period, more or less.
func (l *Limiter) planProbe(known *limit) {
	known.probeAt = known.probeAt.Add(time.Duration((0.5 + l.random.Float64()) * float64(known.probePeriod)))
}

// Sent records a request to a replica.
func (l *Limiter) Sent(now time.Time, replica string) {
	known := l.limits[replica]
	if known == nil || !known.limited {
		return
	}
	if known.isSender {
		known.refill(now)
		known.credit--
		return
	}
	known.probeAt = now
	l.planProbe(known)
}

// Blocked returns the replicas to which this node may not send now.
func (l *Limiter) Blocked(now time.Time) []string {
	var list []string
	for replica := range l.limits {
		if !l.MaySend(now, replica) {
			list = append(list, replica)
		}
	}
	slices.Sort(list)
	return list
}

// Limits returns the limits in force, for operators.
func (l *Limiter) Limits(now time.Time) []Statement {
	var list []Statement
	for replica, known := range l.limits {
		if known.limited {
			list = append(list, known.statement(now, replica))
		}
	}
	sortByReplica(list)
	return list
}

// Statements returns what replicas have stated lately, for the other nodes. A statement keeps
// its age when it is passed on again, so it doesn't go round for ever. Statements also forgets
// limits that ended long ago.
func (l *Limiter) Statements(now time.Time) []Statement {
	var list []Statement
	for replica, known := range l.limits {
		recent := now.Sub(known.statedAt) < ValidFor
		if recent {
			list = append(list, known.statement(now, replica))
		}
		if !known.limited && !recent {
			delete(l.limits, replica)
		}
	}
	sortByReplica(list)
	return list
}

func (k *limit) statement(now time.Time, replica string) Statement {
	s := Statement{Replica: replica, Limited: k.limited, Age: now.Sub(k.statedAt)}
	if k.limited {
		s.RequestsPerSecond = k.requestsPerSecond
	}
	return s
}

func sortByReplica(list []Statement) {
	slices.SortFunc(list, func(a, b Statement) int { return strings.Compare(a.Replica, b.Replica) })
}
