package placement

import (
	"slices"
	"time"
)

// Plan is a partition in force. Versions only grow; a version is the fencing number of
// the orders that carry the plan out.
type Plan struct {
	Version   int64
	Partition Partition
}

// Policy says when a better partition is worth a move. Zero fields mean defaults.
type Policy struct {
	// MinGain is the fraction of the bottleneck that a move must save.
	MinGain float64
	// StabilizationWindow is how long the gain must last before the move.
	StabilizationWindow time.Duration
	// MinInterval is the minimum time between two moves.
	MinInterval time.Duration
	// MeasurementTTL is how long a measurement counts without a newer one. A link
	// that the plan avoids is not measured, so without a TTL it would be avoided
	// for ever. With it, the plan returns to a slow link at most once in this time.
	MeasurementTTL time.Duration
}

// Defaults of Policy.
const (
	// DefaultMinGain recovers the cost of a move within minutes: a move stops a
	// chain for the seconds of a load, and other chains carry its streams meanwhile.
	DefaultMinGain = 0.2
	// DefaultStabilizationWindow is longer than a burst or a garbage collection
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

// Measurement is the mean time of a hop over several tokens.
type Measurement struct {
	// Endpoint is the engine of the stage; Next is that of the next stage, empty if
	// there is none.
	Endpoint, Next string
	// HopMicros is the time of the stage's layers and its outgoing link.
	HopMicros float64
	// StepMicros is the time of the layers as the engine reports it. If it is zero
	// (unknown), the hop is divided between the layers and the link in the
	// proportion of their declared times.
	StepMicros float64
}

// medianWindow is the number of last measurements of which an estimate is the median.
// The median forgets a short burst within three measurements. A moving average would
// carry it on well past Policy.StabilizationWindow and move layers for a short
// disturbance.
const medianWindow = 5

// Planner follows the measured times of a chain and decides when to move layers. It is
// not safe for concurrent use.
type Planner struct {
	model       Model
	declared    Chain
	policy      Policy
	plan        Plan
	layerMicros map[string]estimate // microseconds of a layer
	linkMicros  map[link]estimate   // microseconds
	lastMove    time.Time
	gainSince   time.Time // since when a partition worth a move is known, zero if none
}

type link struct{ from, to string }

// estimate holds the last measurements of one time, in microseconds.
type estimate struct {
	recent           [medianWindow]float64
	measurementCount int
	updated          time.Time
}

// NewPlanner returns a Planner for a chain with the plan in force.
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

// Adopt puts an agreed plan in force, unless it is older than the present one. The plan
// may come from any node.
func (p *Planner) Adopt(now time.Time, plan Plan) {
	if plan.Version <= p.plan.Version {
		return
	}
	p.plan = plan
	p.lastMove = now
	p.gainSince = time.Time{}
}

// SetChain replaces the declared chain.
func (p *Planner) SetChain(declared Chain) { p.declared = declared }

// Observe records a measurement of a stage of the plan in force.
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

// computeFraction returns the declared fraction of a hop that its layers take.
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
// one. The planner keeps the present plan until Adopt, because a new plan counts only
// once it is agreed.
func (p *Planner) Decide(now time.Time) (Plan, bool) {
	chain := p.measuredChain(now)
	best, err := BestPartition(p.model, chain)
	if err != nil {
		return p.plan, false
	}
	current, valid := Evaluate(p.plan.Partition, chain)
	next := Plan{Version: p.plan.Version + 1, Partition: best}
	if !valid {
		return next, true // an engine of the plan is gone, so there is no gain to compare
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

// measuredChain returns the declared chain with recent measurements in place of declared
// times.
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
