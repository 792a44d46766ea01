package placement

import (
	"slices"
	"time"
)

// Plan is a cut in force. Versions only grow; a version is the fencing number
// of the orders that carry the plan out.
type Plan struct {
	Version int64
	Cut     Cut
}

// Policy says when a better cut is worth a move. Zero fields mean defaults.
type Policy struct {
	// MinGain is the part of the bottleneck that a move must save.
	MinGain float64
	// HoldFor is how long the gain must last before the move.
	HoldFor time.Duration
	// MinInterval is the least time between two moves.
	MinInterval time.Duration
	// ForgetAfter is how long a measurement counts that is not renewed. A
	// link that the plan avoids is not measured; without forgetting it would
	// be avoided for ever, and with it the chain comes back at most once in
	// this time.
	ForgetAfter time.Duration
}

// Defaults of Policy.
const (
	// DefaultMinGain pays for a move within minutes: a move stops a chain for
	// the seconds of a load, during which others carry its streams.
	DefaultMinGain = 0.2
	// DefaultHoldFor outlasts a burst or a collection pause.
	DefaultHoldFor     = 10 * time.Second
	DefaultMinInterval = time.Minute
	DefaultForgetAfter = 10 * time.Minute
)

func (p Policy) withDefaults() Policy {
	if p.MinGain == 0 {
		p.MinGain = DefaultMinGain
	}
	p.HoldFor = orDefault(p.HoldFor, DefaultHoldFor)
	p.MinInterval = orDefault(p.MinInterval, DefaultMinInterval)
	p.ForgetAfter = orDefault(p.ForgetAfter, DefaultForgetAfter)
	return p
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Measure is the mean time of a hop over some tokens.
type Measure struct {
	// Endpoint is the stage, Next the one that it sends to, empty if none.
	Endpoint, Next string
	// HopMicros is the time of the stage's layers and its outgoing link.
	HopMicros float64
	// StepMicros is the engine's own report of the time of its layers. Zero
	// means that it is not known; the hop's change is then laid on the link
	// and the layers in the proportion in which they were declared.
	StepMicros float64
}

// medianOf is how many of the last measurements an estimate goes by. Their
// median forgets a short burst within three measurements; a moving average
// carries it on well past Policy.HoldFor and so moves layers for a blip.
const medianOf = 5

// Planner follows a chain's measured times and decides when to move layers. It
// is for one goroutine.
type Planner struct {
	model    Model
	declared Chain
	policy   Policy
	plan     Plan
	stages   map[string]estimate // microseconds of a layer
	links    map[link]estimate   // microseconds
	moved    time.Time
	better   time.Time // since when a cut worth the move is known, zero if none
}

type link struct{ from, to string }

// estimate holds the last measurements of one time, in microseconds.
type estimate struct {
	last  [medianOf]float64
	count int
	at    time.Time // of the last
}

// NewPlanner returns a planner of a chain with the plan in force.
func NewPlanner(model Model, declared Chain, plan Plan, policy Policy) *Planner {
	return &Planner{
		model:    model,
		declared: declared,
		policy:   policy.withDefaults(),
		plan:     plan,
		stages:   map[string]estimate{},
		links:    map[link]estimate{},
	}
}

// Plan returns the plan in force.
func (p *Planner) Plan() Plan { return p.plan }

// Adopt takes a plan that was agreed, by whomever, unless it is an older one.
func (p *Planner) Adopt(now time.Time, plan Plan) {
	if plan.Version <= p.plan.Version {
		return
	}
	p.plan = plan
	p.moved = now
	p.better = time.Time{}
}

// SetChain replaces the engines that there are.
func (p *Planner) SetChain(declared Chain) { p.declared = declared }

// Observe takes a measurement of a stage of the plan in force.
func (p *Planner) Observe(now time.Time, m Measure) {
	at := slices.IndexFunc(p.plan.Cut.Stages, func(s Stage) bool { return s.Endpoint == m.Endpoint })
	declared := p.declared.index(m.Endpoint)
	if at < 0 || declared < 0 || m.HopMicros <= 0 {
		return
	}
	stage := p.plan.Cut.Stages[at]
	layers := float64(stage.Last - stage.First + 1)
	step := min(m.StepMicros, m.HopMicros)
	if step <= 0 {
		step = m.HopMicros * p.layersPart(declared, layers, m.Next)
	}
	p.stages[m.Endpoint] = p.stages[m.Endpoint].with(now, step/layers)
	if m.Next != "" {
		key := link{m.Endpoint, m.Next}
		p.links[key] = p.links[key].with(now, m.HopMicros-step)
	}
}

// layersPart is the part of a hop that its layers were declared to take.
func (p *Planner) layersPart(at int, layers float64, next string) float64 {
	compute := layers * p.declared.Accelerators[at].LayerMicros
	to := p.declared.index(next)
	if to <= at || compute <= 0 {
		return 1
	}
	return compute / (compute + p.declared.LinkMicros[at][to])
}

// with returns the estimate with one more measurement.
func (e estimate) with(now time.Time, micros float64) estimate {
	e.last[e.count%medianOf] = micros
	e.count++
	e.at = now
	return e
}

func (e estimate) median() float64 {
	sorted := e.last
	known := sorted[:min(e.count, medianOf)]
	slices.Sort(known)
	return known[len(known)/2]
}

// Decide returns the plan to have and whether it differs from the one in
// force. The planner keeps the old one until Adopt: the new one counts only
// once it is agreed.
func (p *Planner) Decide(now time.Time) (Plan, bool) {
	chain := p.measuredChain(now)
	best, err := Best(p.model, chain)
	if err != nil {
		return p.plan, false
	}
	current, whole := Measured(p.plan.Cut, chain)
	next := Plan{Version: p.plan.Version + 1, Cut: best}
	if !whole {
		return next, true // an engine of the plan is gone: nothing to weigh
	}
	if best.Bottleneck > current.Bottleneck*(1-p.policy.MinGain) {
		p.better = time.Time{}
		return p.plan, false
	}
	if p.better.IsZero() {
		p.better = now
	}
	lasting := now.Sub(p.better) >= p.policy.HoldFor
	rested := p.moved.IsZero() || now.Sub(p.moved) >= p.policy.MinInterval
	if !lasting || !rested {
		return p.plan, false
	}
	return next, true
}

// measuredChain is the declared chain with what was measured lately put in.
func (p *Planner) measuredChain(now time.Time) Chain {
	chain := Chain{Accelerators: slices.Clone(p.declared.Accelerators)}
	for i := range chain.Accelerators {
		a := &chain.Accelerators[i]
		if e, ok := p.stages[a.Endpoint]; ok && now.Sub(e.at) < p.policy.ForgetAfter {
			a.LayerMicros = e.median()
		}
		chain.LinkMicros = append(chain.LinkMicros, slices.Clone(p.declared.LinkMicros[i]))
	}
	for key, e := range p.links {
		from, to := chain.index(key.from), chain.index(key.to)
		if from >= 0 && to > from && now.Sub(e.at) < p.policy.ForgetAfter {
			chain.LinkMicros[from][to] = e.median()
		}
	}
	return chain
}
