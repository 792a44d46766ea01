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

// retryAdapter is when a caller may come back for an adapter that no replica is
// planned to hold: the keeper of the plans looks each second, the order takes
// another, and some hundred megabytes at some hundred a second a few more.
const retryAdapter = 5 * time.Second

// withoutAdapter lists the replicas that this node uses and that are not to hold a
// call's adapter. If none is to, the call is refused at once.
//
// Weighed: letting the call wait for the load. Loads take seconds to minutes at the
// weight store's rate, one after the other, and nobody knows how long; the calls of
// one adapter that is on its way would fill the queue before the calls of all
// others. The adapter is loaded without them, as the document names it.
func (s *Server) withoutAdapter(c *callparser.Call, visit *lifecycle.Visit) ([]string, *outcome.Refusal) {
	if c.Adapter == "" {
		return nil, nil
	}
	used := visit.At.Picker.Subset()
	var without []string
	for _, replica := range used {
		_, err := s.Chains.Chain(c, replica)
		if errors.Is(err, chains.ErrNoAdapter) || errors.Is(err, chains.ErrNoPlan) {
			without = append(without, replica)
		}
	}
	if len(without) < len(used) {
		return without, nil
	}
	for _, replica := range used {
		s.Plans.ReportPlanMismatch(c.Service.Name, replica) // this node may know an old plan
	}
	return nil, &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: "no_adapter",
		Message: fmt.Sprintf("no replica holds adapter %q yet", c.Adapter),
		Outcome: outcome.NotRun, RetryAfter: retryAdapter,
	}
}
