package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/retrybudget"
)

// reachable is a dialer that reaches every address if it is true, and no address if it is false.
type reachable bool

func (r reachable) Reachable(context.Context, string, time.Duration) (accepts, answers bool) {
	return bool(r), bool(r)
}

// A node starts while a replica is dead. The first replicas of its paths refuse requests
// because this stage is dead. If these refusals counted as lack of capacity, each request of
// the node would waste an attempt on the dead replica until the retry budget is spent.
func TestDeadStageNamedInRefusalIsExcluded(t *testing.T) {
	for _, alive := range []bool{false, true} {
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 0)
		defer cancel()
		req, target := monitor.attempt.req, monitor.attempt.target
		req.ctx, req.log = monitor.ctx, hclog.NewNullLogger()
		req.server.Prober = connprobe.New(reachable(alive), time.Now)
		req.probeFaultyReplica(target, target.Address)
		if noneSuspected := len(m.Suspects()) == 0; noneSuspected != alive {
			t.Errorf("alive %t: %d replicas are excluded", alive, len(m.Suspects()))
		}
		req.probeFaultyReplica(target, "unknown address")
	}
}

// Guards against sound stages that count as lost, with all streams through them, because a replica that
// was silent for a second names them when it refuses the requests that came meanwhile.
func TestLateRefusalDoesNotShowALoss(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second} {
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), late)
		defer cancel()
		a := monitor.attempt
		a.head = headers.ResponseHead{NotRun: true, FaultAddress: a.target.Address}
		res := a.refusedResult(http.StatusServiceUnavailable)
		m.Finish(a.target, res.feedback)
		if lost := m.Suspects(); len(lost) > 0 || !res.feedback.NoCapacity {
			t.Errorf("refused after %v: %d replicas count as lost", late, len(lost))
		}
	}
}
