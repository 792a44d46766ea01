package loadshed

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// targetShare of the latency objective is the wait that a saturated service returns to. The
	// rest covers the variation between requests.
	targetShare = 0.3
	// planInterval is how long a plan is used. Figures of other nodes come less often.
	planInterval = 50 * time.Millisecond
	// relaxAfter is how long the demand must be below the admitted rate until the service no
	// longer counts as saturated.
	relaxAfter = 2 * time.Second
	// classIdleTime is how long a class without requests is remembered.
	classIdleTime = 3 * time.Second
	// arrivalBuckets make the window of the arrivals. It is short because a fraction of a demand
	// that has grown meanwhile lets too many requests in.
	arrivalBuckets = 4
	// minArrivals per second is the least demand of a team that has sent a request.
	minArrivals = 0.1
	// overdraftTime is how far the returning requests of a class may be ahead of its fraction, in
	// time at the rate of the class. A wave of callers may return to all nodes at once, and then
	// lengthens the wait by that time.
	overdraftTime = 250 * time.Millisecond
	// maxOverdraft is the largest overdraft in requests. In a small fleet, overdraftTime alone would
	// allow a node more.
	maxOverdraft = 2
	// surplusAwaiting is added to the number of awaiting requests that chance explains. Without
	// it a single slow request would saturate a service that has hardly any.
	surplusAwaiting = 2
	// maxClassStates is the largest number of classes that are told apart, so that callers with
	// many names can't take up the memory.
	maxClassStates = 1024
)

// Config configures a Controller.
type Config struct {
	// LatencyObjective is the shortest time objective for the first event among the routes of
	// the service.
	LatencyObjective time.Duration
	// Seed differs between nodes, so that they do not admit and refuse in step.
	Seed uint64
}

// Request is a new request.
type Request struct {
	Class Class
	// Returning is set if the request was probably refused before.
	Returning bool
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
}

// Decision says whether a request is admitted, and on which figures that is based.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
	// Wait is the expected time to the first event, Fraction the admitted fraction of the
	// requests like this one.
	Wait     time.Duration
	Fraction float64
}

// State describes the load of a service.
type State struct {
	Saturated bool
	// Wait is the expected time to the first event, Capacity the first events per second, and
	// Admitted the requests per second that are admitted; 0 if the service is not saturated.
	Wait               time.Duration
	Capacity, Admitted float64
}

// classState is what a Controller knows of a class.
type classState struct {
	arrivals rate
	deferred deferrals
	lastAt   time.Duration
	// credit adds up the admitted fractions of the requests and loses 1 for each that is
	// admitted. A request is admitted if the credit reaches 1, a returning one also if it is up
	// to overdraft less.
	credit float64
}

// Controller admits the new requests of one service on one node.
type Controller struct {
	objective time.Duration
	random    *rand.Rand

	// start is when the Controller was first used. Times are kept as durations since then.
	start time.Time
	// awaiting is the number of this node's requests that await their first event, and
	// sentAtSum the sum of the times at which they were sent.
	awaiting    int
	sentAtSum   time.Duration
	firstEvents rate
	unloaded    unloadedLatency
	classes     map[Class]*classState

	others    Totals
	othersAt  time.Duration
	othersNew bool // othersAt is not set yet

	saturated bool
	// fitsSince is when the demand fell below the admitted rate; negative if it is above.
	fitsSince time.Duration
	planned   bool
	plannedAt time.Duration
	totals    Totals
	// capacity is the smoothed rate of first events of all nodes in totals.
	capacity, capacityPerNode float64
	// formerPerNode is the largest recent capacityPerNode, and silent is set if the replicas
	// hardly answer.
	formerPerNode float64
	silent        bool
	// admitted is the rate that all nodes together admit while the service is saturated, per second.
	admitted float64
	// unseen estimates the awaiting requests that totals do not show yet; negative if totals
	// include requests that have been answered since.
	unseen float64
	// backlogs holds how many requests of each priority and of more urgent ones are estimated to
	// wait at the replicas.
	backlogs [MaxPriority + 1]float64
	plan     plan
}

// New returns a Controller of a service that is not saturated.
func New(cfg Config) *Controller {
	return &Controller{
		objective: cfg.LatencyObjective, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		classes: map[Class]*classState{}, totals: Totals{Classes: map[Class]Demand{}},
	}
}

// SetObjective replaces Config.LatencyObjective.
func (c *Controller) SetObjective(objective time.Duration) { c.objective = objective }

// sinceStart returns the time since the Controller was first used.
func (c *Controller) sinceStart(now time.Time) time.Duration {
	if c.start.IsZero() {
		c.start = now
	}
	return max(0, now.Sub(c.start))
}

// Sent records that a request was sent to a replica. FirstEvent or Ended must follow with the
// same sentAt.
func (c *Controller) Sent(sentAt time.Time) {
	c.awaiting++
	c.sentAtSum += c.sinceStart(sentAt)
}

// FirstEvent records the first event of a request that was sent at sentAt.
func (c *Controller) FirstEvent(now, sentAt time.Time) {
	c.Ended(sentAt)
	c.firstEvents.add(c.sinceStart(now))
	c.unloaded.add(now.Sub(sentAt))
}

// Ended records that a request that was sent at sentAt ended without an event.
func (c *Controller) Ended(sentAt time.Time) {
	if c.awaiting == 0 {
		return
	}
	c.awaiting--
	c.sentAtSum -= c.sinceStart(sentAt)
	if c.awaiting == 0 {
		c.sentAtSum = 0
	}
}

// SetOthers records the figures of other nodes, which are valid for ValidFor from the next
// decision on; call it at each exchange. It keeps the map of classes. It returns false for
// impossible figures, and ignores them.
func (c *Controller) SetOthers(others Totals) bool {
	if !others.possible() {
		return false
	}
	c.others, c.othersNew = others, true
	return true
}

// Own returns this node's figures.
func (c *Controller) Own(now time.Time) Totals {
	at := c.sinceStart(now)
	t := c.ownSums(at)
	t.Classes = make(map[Class]Demand, len(c.classes))
	c.addOwnClasses(at, t.Classes)
	return t.Limited()
}

func (c *Controller) ownSums(at time.Duration) Totals {
	t := Totals{Nodes: 1, Awaiting: float64(c.awaiting), FirstEvents: c.firstEvents.perSecond(at, rateBuckets)}
	if c.awaiting > 0 {
		t.AwaitingAge = min(max(0, at-c.sentAtSum/time.Duration(c.awaiting)), maxAge)
	}
	return t
}

// addOwnClasses adds the demand at this node, and forgets classes without any.
func (c *Controller) addOwnClasses(at time.Duration, classes map[Class]Demand) {
	for class, s := range c.classes {
		deferred := s.deferred.count(at)
		if at-s.lastAt > classIdleTime && deferred == 0 {
			delete(c.classes, class)
			continue
		}
		own := Demand{Arrivals: s.arrivals.perSecond(at, arrivalBuckets), Deferred: deferred}
		classes[class] = classes[class].plus(own)
	}
}

// State returns the load of the service.
func (c *Controller) State(now time.Time) State {
	c.update(c.sinceStart(now))
	s := State{Saturated: c.saturated, Wait: c.totals.wait(), Capacity: c.capacity}
	if c.saturated {
		s.Admitted = c.admitted
	}
	return s
}

// NeedsClasses reports whether other nodes need the demand by class: the service is saturated, or
// the wait is above half of the target.
func (c *Controller) NeedsClasses(now time.Time) bool {
	c.update(c.sinceStart(now))
	return c.saturated || c.totals.wait() > c.target()/2
}

// Admit decides on a new request, and counts it.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	at := c.sinceStart(now)
	r.Class.Priority = clampPriority(r.Class.Priority)
	s := c.stateOf(&r.Class)
	s.lastAt = at
	s.arrivals.add(at)
	c.update(at)
	d := Decision{Admitted: true, Wait: c.totals.wait(), Fraction: 1}
	if !c.saturated {
		return d
	}
	demand := c.demand(at, r.Class, s)
	rate := c.plan.rate(r.Class, demand.Arrivals)
	d.Fraction = rate / demand.Arrivals
	s.credit += d.Fraction
	overdraft := min(maxOverdraft, rate*overdraftTime.Seconds()/float64(c.totals.Nodes))
	if s.credit >= 1 || r.Returning && s.credit >= 1-overdraft {
		s.credit--
		return d
	}
	d.Admitted, d.RetryAfter = false, c.retryAfter(r, demand)
	s.deferred.add(at, d.RetryAfter)
	return d
}

// stateOf returns the state of a class. If too many are kept, new teams share one.
func (c *Controller) stateOf(class *Class) *classState {
	s := c.classes[*class]
	if s == nil && len(c.classes) >= maxClassStates {
		class.Team = otherTeams
		s = c.classes[*class]
	}
	if s == nil {
		s = &classState{credit: c.random.Float64()}
		c.classes[*class] = s
	}
	return s
}

// demand returns the demand of a team at all nodes as of the last plan. It is not less than what
// this node sees itself and, if reports leave out the team, what a team that they leave out has
// in the mean.
func (c *Controller) demand(at time.Duration, class Class, s *classState) Demand {
	d := c.totals.Classes[class]
	d.Arrivals = max(d.perTeam(), s.arrivals.perSecond(at, arrivalBuckets), minArrivals)
	d.Deferred = max(d.Deferred/max(1, d.Teams), s.deferred.count(at))
	d.Arrivals *= s.arrivals.growth(at, arrivalBuckets, int64(horizon/rateBucket))
	if _, reported := c.others.Classes[class]; !reported {
		merged := c.totals.Classes[Class{Priority: class.Priority, Team: otherTeams}]
		d.Arrivals = max(d.Arrivals, merged.perTeam())
		d.Deferred = max(d.Deferred, merged.Deferred/max(1, merged.Teams))
	}
	return d
}

// update brings the plan up to date.
func (c *Controller) update(at time.Duration) {
	elapsed := at - c.plannedAt
	if c.planned && elapsed < planInterval {
		return
	}
	c.planned, c.plannedAt = true, at
	c.sumUp(at)
	c.observeCapacity(elapsed)
	if elapsed >= relaxAfter {
		c.saturated = false // nothing was asked for in that time
	}
	entered := false // whether the service becomes saturated now
	if !c.saturated {
		entered = c.overloaded(at)
		c.saturated = entered
		c.fitsSince = -1
	}
	if !c.saturated {
		c.admitted, c.unseen = 0, 0
		return
	}
	if !entered {
		c.observeUnseen(elapsed)
	}
	c.sumUpClasses(at)
	c.admitted = admittedRate(c.capacity, c.totals.Awaiting+c.unseen, c.target())
	if c.silent {
		c.admitted = max(minAdmittedShare*c.capacity, minAdmittedPerSecond)
	}
	c.plan.sumUp(c.totals.Classes)
	if entered {
		c.plan.resetSmoothed()
		c.initBacklogs()
	} else {
		c.plan.smooth(elapsed)
		c.observeBacklogs(elapsed)
	}
	c.plan.divide(c.admitted, c.capacity, c.target().Seconds()*c.capacity, &c.backlogs)
	c.relax(at)
}

// sumUp adds up the figures of this node and of the others, without the classes.
func (c *Controller) sumUp(at time.Duration) {
	if c.othersNew {
		c.othersAt, c.othersNew = at, false
	}
	if at-c.othersAt >= ValidFor {
		c.others = Totals{}
	}
	classes := c.totals.Classes
	c.totals = c.ownSums(at).plusSums(c.others)
	c.totals.Classes = classes
}

// sumUpClasses adds up the demand. Other nodes report theirs only once the service is loaded, so
// in the first second of a burst that of some or all is missing. It is then taken to be like the
// known demand, and not less than what the replicas answer.
func (c *Controller) sumUpClasses(at time.Duration) {
	classes := c.totals.Classes
	clear(classes)
	maps.Copy(classes, c.others.Classes)
	c.addOwnClasses(at, classes)
	known := 0.0
	for _, demand := range classes {
		known += demand.Arrivals
	}
	scale := c.totals.FirstEvents / max(known, 1)
	if len(c.others.Classes) == 0 {
		scale = max(scale, float64(c.totals.Nodes))
	}
	if scale <= 1 {
		return
	}
	for class, demand := range classes {
		classes[class] = demand.times(scale)
	}
}

// relax ends load control when the demand has been below the admitted rate for relaxAfter.
func (c *Controller) relax(at time.Duration) {
	switch {
	case c.plan.demand > c.admitted:
		c.fitsSince = -1
	case c.fitsSince < 0:
		c.fitsSince = at
	case at-c.fitsSince >= relaxAfter:
		c.saturated = false
	}
}
