package placement

import (
	"slices"
	"time"
)

// Plan is a partition with its version. Each new plan has a higher version than the plan
// before it. The version is the fencing number of the orders that carry the plan out.
type Plan struct {
	Version   int64
	Partition Partition
}

// Policy says when a better partition is worth a move. A field of zero means the default.
type Policy struct {
	// MinGain is the minimum gain of a move: the fraction by which the move must shorten the
	// bottleneck.
	MinGain float64
	// StabilizationWindow is how long a gain of at least MinGain must last before the
	// move.
	StabilizationWindow time.Duration
	// MinInterval is the minimum time between two moves.
	MinInterval time.Duration
	// MeasurementTTL is how long a measurement replaces the declared time if no newer
	// measurement follows. A link that the plan avoids is not measured. Without a TTL
	// the plan would avoid such a link for ever. With the TTL, the plan returns to a
	// slow link at most once per MeasurementTTL.
	MeasurementTTL time.Duration
}

// Defaults of Policy.
const (
	// DefaultMinGain is the default of Policy.MinGain: a move must shorten the bottleneck by
	// at least 20%. A move stops a chain until its engines have loaded their new layers, which
	// takes seconds, and other chains carry the streams of this chain meanwhile. A gain of 20%
	// outweighs this cost within minutes.
	DefaultMinGain = 0.2
	// DefaultStabilizationWindow is longer than a traffic burst or a garbage collection
	// pause.
	DefaultStabilizationWindow = 10 * time.Second
	DefaultMinInterval         = time.Minute
	DefaultMeasurementTTL      = 10 * time.Minute
)

func (p Policy) withDefaults() Policy {
	if p.MinGain == 0 {
		p.MinGain = DefaultMinGain
	}
	p.StabilizationWindow = orDefault(p.StabilizationWindow, DefaultStabilizationWindow)
	p.MinInterval = orDefault(p.MinInterval, DefaultMinInterval)
	p.MeasurementTTL = orDefault(p.MeasurementTTL, DefaultMeasurementTTL)
	return p
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Measurement holds the times that the hop of one stage takes for one token. Each time is the
// mean over several tokens of a stream.
type Measurement struct {
	// Endpoint names the engine of the stage, and Next the engine of the next stage. Next
	// is empty for the last stage.
	Endpoint, Next string
	// HopMicros is the time of the hop, in microseconds: the computation of the stage's
	// layers and the transfer to the next stage.
	HopMicros float64
	// StepMicros is the time of the computation alone, in microseconds, as the engine
	// reports it. Zero means unknown. The hop is then divided between computation and
	// transfer in the proportion of their declared times.
	StepMicros float64
}

// medianWindow is the number of most recent measurements whose median a timeEstimate uses.
// The median no longer shows a short burst of slow hops after three further measurements. A
// moving average would show the burst for longer than Policy.StabilizationWindow, and layers
// would move because of a short disturbance.
const medianWindow = 5

// Planner follows the measured times of a chain and decides when layers move to other
// engines. A Planner is not safe for concurrent use.
type Planner struct {
	model         Model
	declaredChain Chain
	policy        Policy
	plan          Plan
	layerMicros   map[string]timeEstimate // time of one layer, by engine
	linkMicros    map[link]timeEstimate   // transfer time of one token
	lastMoveAt    time.Time
	gainSince     time.Time // since when a move with a gain of at least MinGain has been known; zero if none is known
}

// link names the engines at both ends of a link.
type link struct{ from, to string }

// timeEstimate holds the most recent measurements of the time of a layer or a link, in
// microseconds.
type timeEstimate struct {
	recentMicros     [medianWindow]float64
	measurementCount int
	updatedAt        time.Time
}

// NewPlanner returns a Planner for a chain. declaredChain holds the declared times of layers
// and links, which the Planner uses until it has measurements. plan is the plan in force.
func NewPlanner(model Model, declaredChain Chain, plan Plan, policy Policy) *Planner {
	return &Planner{
		model:         model,
		declaredChain: declaredChain,
		policy:        policy.withDefaults(),
		plan:          plan,
		layerMicros:   map[string]timeEstimate{},
		linkMicros:    map[link]timeEstimate{},
	}
}

// Plan returns the plan in force.
func (p *Planner) Plan() Plan { return p.plan }

// Adopt puts a plan in force if the plan has a higher version than the plan in force. The nodes
// must have agreed on the new plan before. Any node may have proposed it.
func (p *Planner) Adopt(now time.Time, plan Plan) {
	if plan.Version <= p.plan.Version {
		return
	}
	p.plan = plan
	p.lastMoveAt = now
	p.gainSince = time.Time{}
}

// SetChain replaces the chain and its declared times. The measurements so far are kept.
func (p *Planner) SetChain(declaredChain Chain) { p.declaredChain = declaredChain }

// Observe records a measurement. Observe ignores measurements without a hop time and those of
// engines that have no stage in the plan in force.
func (p *Planner) Observe(now time.Time, m Measurement) {
	i := slices.IndexFunc(p.plan.Partition.Stages, func(s Stage) bool { return s.Endpoint == m.Endpoint })
	accelerator := p.declaredChain.acceleratorIndex(m.Endpoint)
	if i < 0 || accelerator < 0 || m.HopMicros <= 0 {
		return
	}
	stage := p.plan.Partition.Stages[i]
	layerCount := float64(stage.Last - stage.First + 1)
	stepMicros := min(m.StepMicros, m.HopMicros)
	if stepMicros <= 0 {
		stepMicros = m.HopMicros * p.computeFraction(accelerator, layerCount, m.Next)
	}
	p.layerMicros[m.Endpoint] = p.layerMicros[m.Endpoint].withMeasurement(now, stepMicros/layerCount)
	if m.Next != "" {
		key := link{m.Endpoint, m.Next}
		p.linkMicros[key] = p.linkMicros[key].withMeasurement(now, m.HopMicros-stepMicros)
	}
}

// computeFraction returns the fraction of a hop's time that its computation takes according
// to the declared times.
func (p *Planner) computeFraction(accelerator int, layerCount float64, next string) float64 {
	computeMicros := layerCount * p.declaredChain.Accelerators[accelerator].LayerMicros
	nextAccelerator := p.declaredChain.acceleratorIndex(next)
	if nextAccelerator <= accelerator || computeMicros <= 0 {
		return 1
	}
	return computeMicros / (computeMicros + p.declaredChain.LinkMicros[accelerator][nextAccelerator])
}

// withMeasurement returns the estimate with one more measurement.
func (e timeEstimate) withMeasurement(now time.Time, micros float64) timeEstimate {
	e.recentMicros[e.measurementCount%medianWindow] = micros
	e.measurementCount++
	e.updatedAt = now
	return e
}

func (e timeEstimate) median() float64 {
	sortedMicros := e.recentMicros
	measuredMicros := sortedMicros[:min(e.measurementCount, medianWindow)]
	slices.Sort(measuredMicros)
	return measuredMicros[len(measuredMicros)/2]
}

// Decide returns the plan that should be in force, and whether it differs from the plan in
// force. Only Adopt puts a new plan in force, after the nodes have agreed on that plan.
func (p *Planner) Decide(now time.Time) (Plan, bool) {
	chain := p.measuredChain(now)
	best, err := BestPartition(p.model, chain)
	if err != nil {
		return p.plan, false
	}
	currentPartition, valid := Evaluate(p.plan.Partition, chain)
	nextPlan := Plan{Version: p.plan.Version + 1, Partition: best}
	if !valid {
		return nextPlan, true // the chain lacks an engine of the plan, so there is no gain to compare
	}
	if best.Bottleneck > currentPartition.Bottleneck*(1-p.policy.MinGain) {
		p.gainSince = time.Time{}
		return p.plan, false
	}
	if p.gainSince.IsZero() {
		p.gainSince = now
	}
	gainLasts := now.Sub(p.gainSince) >= p.policy.StabilizationWindow
	intervalOver := p.lastMoveAt.IsZero() || now.Sub(p.lastMoveAt) >= p.policy.MinInterval
	if !gainLasts || !intervalOver {
		return p.plan, false
	}
	return nextPlan, true
}

// measuredChain returns the chain with the declared times replaced by the medians of
// measurements, where there are recent ones (Policy.MeasurementTTL).
func (p *Planner) measuredChain(now time.Time) Chain {
	chain := Chain{Accelerators: slices.Clone(p.declaredChain.Accelerators)}
	for i := range chain.Accelerators {
		a := &chain.Accelerators[i]
		if e, ok := p.layerMicros[a.Endpoint]; ok && now.Sub(e.updatedAt) < p.policy.MeasurementTTL {
			a.LayerMicros = e.median()
		}
		chain.LinkMicros = append(chain.LinkMicros, slices.Clone(p.declaredChain.LinkMicros[i]))
	}
	for key, e := range p.linkMicros {
		from, to := chain.acceleratorIndex(key.from), chain.acceleratorIndex(key.to)
		if from >= 0 && to > from && now.Sub(e.updatedAt) < p.policy.MeasurementTTL {
			chain.LinkMicros[from][to] = e.median()
		}
	}
	return chain
}
