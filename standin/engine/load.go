package engine

import (
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// loadReport is the last snapshot of the load. It is renewed only when it is
// older than Config.LoadLag, so reports lag as real engines' do.
type loadReport struct {
	taken time.Time
	load  engineapi.Load
}

// Load returns the engine's load as it reports it, late.
func (e *Engine) Load() engineapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.load.taken.IsZero() || now.Sub(e.load.taken) >= e.cfg.LoadLag {
		e.load = loadReport{taken: now, load: e.loadNow()}
	}
	report := e.load.load
	report.AgeMillis = now.Sub(e.load.taken).Milliseconds()
	report.Draining = e.faults.Drain
	return report
}

func (e *Engine) loadNow() engineapi.Load {
	running := len(e.table.sessions)
	return engineapi.Load{
		Running:    running,
		Waiting:    len(e.slots.waiting),
		Slots:      e.cfg.Slots,
		StepMicros: e.stepTime(running).Microseconds(),
		CacheUsed:  e.cache.used(),
	}
}

// stepTime is the time of one step in a batch of running streams. The caller
// holds mu.
func (e *Engine) stepTime(running int) time.Duration {
	others := float64(max(running-1, 0))
	step := float64(e.cfg.Step) * (1 + others*e.cfg.BatchCost)
	if e.faults.Slow > 0 {
		step *= e.faults.Slow
	}
	return time.Duration(step) + e.faults.SlowPerToken
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Load())
}
