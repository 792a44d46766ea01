package placement

import (
	"slices"
	"time"
)

// Plan is a partition with its version. Versions only grow; the version is the fencing
// number of the orders that carry the plan out.
type Plan struct {
	Version   int64
	Partition Partition
}

// Policy says when a better partition is worth a move. A field of zero means the default.
type Policy struct {
	// MinGain is the fraction by which a move must shorten the bottleneck.
	MinGain float64
	// StabilizationWindow is how long a gain of at least MinGain must last before the
	// move.
	StabilizationWindow time.Duration
	// MinInterval is the minimum time between two moves.
	MinInterval time.Duration
	// MeasurementTTL is how long a measurement replaces the declared time if no newer
	// measurement follows. A link that the plan avoids is not measured. Without a TTL
	// the plan would avoid such a link for ever. With the TTL, the plan returns to a
	// slow link at most once in this time.
	MeasurementTTL time.Duration
}

// Defaults of Policy.
const (
	// DefaultMinGain makes a gain outweigh the cost of its move within minutes: a move
	// stops a chain for the seconds of a load, and other chains carry its streams
	// meanwhile.
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

// Measurement holds the times of one stage's hop per token, as means over several tokens of
// a stream.
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

// medianWindow is the number of most recent measurements of which an estimate is the median.
// Three measurements after a short burst, the median no longer shows it. A moving average
// would show the burst for longer than Policy.StabilizationWindow, and layers would move
// because of a short disturbance.
const medianWindow = 5

// Planner follows the measured times of a chain and decides when layers move to other
// engines. It is not safe for concurrent use.
type Planner struct {
	model       Model
	declared    Chain
	policy      Policy
	plan        Plan
	layerMicros map[string]estimate // time of one layer, by engine
	linkMicros  map[link]estimate   // transfer time of one token
	lastMove    time.Time
	gainSince   time.Time // when a partition worth a move was first found, zero if none is known
}

// link names the engines at both ends of a link.
type link struct{ from, to string }

// estimate holds the most recent measurements of a layer's or a link's time, in
// microseconds.
type estimate struct {
	recent           [medianWindow]float64
	measurementCount int
	updated          time.Time
}

// NewPlanner returns a Planner for a chain. declared holds the declared times, which count
// until there are measurements, and plan is the plan in force.
func NewPlanner(model Model, declared Chain, plan Plan, policy Policy) *Planner {
	return &Planner{
		model:       model,
		declared:    declared,
		policy:      policy.withDefaults(),
		plan:        plan,
		layerMicros: map[string]estimate{},
		linkMicros:  map[link]estimate{},
	}
}

// Plan returns the plan in force.
func (p *Planner) Plan() Plan { return p.plan }

// Adopt puts a plan in force that the nodes have agreed on, if its version is newer than that
// of the present plan. Any node may have proposed the plan.
func (p *Planner) Adopt(now time.Time, plan Plan) {
	if plan.Version <= p.plan.Version {
		return
	}
	p.plan = plan
	p.lastMove = now
	p.gainSince = time.Time{}
}

// SetChain replaces the chain with its declared times. Measurements are kept.
func (p *Planner) SetChain(declared Chain) { p.declared = declared }

// Observe records a measurement. It ignores measurements without a hop time and those of
// engines that have no stage in the plan in force.
func (p *Planner) Observe(now time.Time, m Measurement) {
	i := slices.IndexFunc(p.plan.Partition.Stages, func(s Stage) bool { return s.Endpoint == m.Endpoint })
	accelerator := p.declared.acceleratorIndex(m.Endpoint)
	if i < 0 || accelerator < 0 || m.HopMicros <= 0 {
		return
	}
	stage := p.plan.Partition.Stages[i]
	layers := float64(stage.Last - stage.First + 1)
	stepMicros := min(m.StepMicros, m.HopMicros)
	if stepMicros <= 0 {
		stepMicros = m.HopMicros * p.computeFraction(accelerator, layers, m.Next)
	}
	p.layerMicros[m.Endpoint] = p.layerMicros[m.Endpoint].withMeasurement(now, stepMicros/layers)
	if m.Next != "" {
		key := link{m.Endpoint, m.Next}
		p.linkMicros[key] = p.linkMicros[key].withMeasurement(now, m.HopMicros-stepMicros)
	}
}

// computeFraction returns the fraction of a hop's time that its computation takes according
// to the declared times.
func (p *Planner) computeFraction(accelerator int, layers float64, next string) float64 {
	computeMicros := layers * p.declared.Accelerators[accelerator].LayerMicros
	nextAccelerator := p.declared.acceleratorIndex(next)
	if nextAccelerator <= accelerator || computeMicros <= 0 {
		return 1
	}
	return computeMicros / (computeMicros + p.declared.LinkMicros[accelerator][nextAccelerator])
}

// withMeasurement returns the estimate withMeasurement one more measurement added.
func (e estimate) withMeasurement(now time.Time, micros float64) estimate {
	e.recent[e.measurementCount%medianWindow] = micros
	e.measurementCount++
	e.updated = now
	return e
}

func (e estimate) median() float64 {
	sorted := e.recent
	known := sorted[:min(e.measurementCount, medianWindow)]
	slices.Sort(known)
	return known[len(known)/2]
}

// Decide returns the plan that should be in force and whether it differs from the present
// plan. The planner keeps the present plan until Adopt, because a new plan counts only
// after the nodes have agreed on it.
func (p *Planner) Decide(now time.Time) (Plan, bool) {
	chain := p.measuredChain(now)
	best, err := BestPartition(p.model, chain)
	if err != nil {
		return p.plan, false
	}
	current, valid := Evaluate(p.plan.Partition, chain)
	next := Plan{Version: p.plan.Version + 1, Partition: best}
	if !valid {
		return next, true // the chain lacks an engine of the plan, so there is no gain to compare
	}
	if best.Bottleneck > current.Bottleneck*(1-p.policy.MinGain) {
		p.gainSince = time.Time{}
		return p.plan, false
	}
	if p.gainSince.IsZero() {
		p.gainSince = now
	}
	stable := now.Sub(p.gainSince) >= p.policy.StabilizationWindow
	intervalOver := p.lastMove.IsZero() || now.Sub(p.lastMove) >= p.policy.MinInterval
	if !stable || !intervalOver {
		return p.plan, false
	}
	return next, true
}

// measuredChain returns the chain with the medians of recent measurements in place of the
// declared times.
func (p *Planner) measuredChain(now time.Time) Chain {
	chain := Chain{Accelerators: slices.Clone(p.declared.Accelerators)}
	for i := range chain.Accelerators {
		a := &chain.Accelerators[i]
		if e, ok := p.layerMicros[a.Endpoint]; ok && now.Sub(e.updated) < p.policy.MeasurementTTL {
			a.LayerMicros = e.median()
		}
		chain.LinkMicros = append(chain.LinkMicros, slices.Clone(p.declared.LinkMicros[i]))
	}
	for key, e := range p.linkMicros {
		from, to := chain.acceleratorIndex(key.from), chain.acceleratorIndex(key.to)
		if from >= 0 && to > from && now.Sub(e.updated) < p.policy.MeasurementTTL {
			chain.LinkMicros[from][to] = e.median()
		}
	}
	return chain
}
