package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

const slots, slotRate = 64, 100.0

func rush(x float64, patience time.Duration, returns bool) sim.Scenario {
	s := sim.Scenario{SlotRate: slotRate, Length: 120 * time.Second}
	cap := slots * slotRate * x
	for _, t := range []string{"a", "b", "c", "d", "e"} {
		s.Loads = append(s.Loads, sim.Load{Team: t, Class: Interactive, Rate: cap * 0.2 * 0.8 / 300, Cost: 300, Patience: patience, Returns: returns},
			sim.Load{Team: t, Class: Interactive, Rate: cap * 0.2 * 0.2 / 3000, Cost: 3000, Patience: 4 * patience, Returns: returns})
	}
	return s
}

func TestExplore(t *testing.T) {
	for _, ret := range []bool{false, true} {
		for _, x := range []float64{0.8, 1, 1.2, 2, 4} {
			for name, p := range map[string]sim.Policy{"queue": New(Config{Slots: slots}), "fifo": &sim.FIFO{Slots: slots}, "fifo-drop": &sim.FIFO{Slots: slots, DropLate: true}} {
				s := rush(x, 5*time.Second, ret)
				r := sim.Run(s, p)
				from, to := 30*time.Second, 110*time.Second
				fmt.Println(ret, x, name, "goodput/bound", r.Goodput(slotRate, from, to)/(slots*slotRate),
					"p95 short", sim.P95(r.Waits(0, from, to)), "served", r.Served(0, from, to), "long", sim.P95(r.Waits(1, from, to)), r.Served(1, from, to))
				reasons := map[Reason]int{}
				late := 0
				var waited time.Duration
				given := 0
				for _, c := range r.Calls {
					reasons[c.Verdict.Reason]++
					if c.Verdict.Kind == Refuse {
						waited += c.Answered - c.Offered
						if c.Answered > c.Offered {
							given++
						}
					}
					if c.Verdict.Kind == Run && !c.InTime() {
						late++
					}
				}
				fmt.Println("   ", reasons, late, given, waited/time.Duration(max(1, reasons[TooLate]+reasons[DeadlinePassed])))
			}
		}
	}
}
