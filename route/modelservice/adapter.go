package modelservice

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/chains"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// adapterRetryAfter is the Retry-After for an adapter that no replica is planned to
// hold. The planner checks once a second, its order takes another second, and loading
// some hundred megabytes at some hundred megabytes per second takes a few more.
const adapterRetryAfter = 5 * time.Second

// replicasWithoutAdapter lists the replicas of this node's subset that have no plan or
// whose plan lacks the call's adapter. If these are all replicas of the subset, the call
// is refused at once.
//
// The call does not wait for the adapter. Adapters are loaded one after the other at
// the weight store's rate, so a load takes seconds to minutes and its end is not known.
// Calls that wait for one adapter would fill the queue in front of all other calls. The
// adapter is loaded even if no call waits for it, because the environment document names
// it.
func (s *Server) replicasWithoutAdapter(c *callparser.Call, call *lifecycle.ActiveCall) ([]string, *outcome.Refusal) {
	if c.Adapter == "" {
		return nil, nil
	}
	subset := call.Local.Picker.Subset()
	var without []string
	for _, replica := range subset {
		_, err := s.Chains.Chain(c, replica)
		if errors.Is(err, chains.ErrNoAdapter) || errors.Is(err, chains.ErrNoPlan) {
			without = append(without, replica)
		}
	}
	if len(without) < len(subset) {
		return without, nil
	}
	for _, replica := range subset {
		s.PlanObserver.ReportPlanMismatch(c.Service.Name, replica) // this node's copy of the plan may be outdated
	}
	return nil, &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: "no_adapter",
		Message: fmt.Sprintf("no replica holds adapter %q yet", c.Adapter),
		Outcome: outcome.NotRun, RetryAfter: adapterRetryAfter,
	}
}
