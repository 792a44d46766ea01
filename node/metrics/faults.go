package metrics

import (
	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// FaultObserver returns what logs and counts the answers of endpoints and nodes that are none.
func (m *Metrics) FaultObserver(log hclog.Logger) httpanswer.OnFault {
	return func(address string, f *httpanswer.Fault) {
		m.scope.Tagged(map[string]string{labelReason: string(f.Reason)}).Counter("unsound_answers_total").Inc(1)
		log.Warn("answer is not sound", "address", address, "reason", string(f.Reason), "detail", f.Detail)
	}
}
