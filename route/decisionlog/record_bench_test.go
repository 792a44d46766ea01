package decisionlog

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// exampleDecision is the choice of a path for a request to a model.
func exampleDecision(skipLog bool) Decision {
	return Decision{
		At: time.Now(), Request: "9c41d07be2a35f68", Kind: Route, Team: "bogor", Service: "pastry-llm", Chosen: "i-40e75c2659",
		Reason: "cheapest path with room", Revision: 16, SkipLog: skipLog,
		TextValues: []TextValue{
			{Name: "address", Text: "10.3.64.16:8066"},
			{Name: "path", Text: "i-40e75c2659:0-14 i-d6abcb5c10:14-28 i-236a4d829b:28-36 i-62b11cb140:36-44 i-6be3e1e180:44-52 i-ddbcef27a2:52-60"},
		},
		Values: map[string]float64{"try": 1, "proof_age_ms": 680.9},
	}
}

// Measures the cost of a decision that is only kept in memory, and of one that is
// logged as well. A request without failures has two decisions; one in ten of such
// decisions is logged.
func BenchmarkRecord(b *testing.B) {
	log := NewLog(hclog.New(&hclog.LoggerOptions{Output: io.Discard, JSONFormat: true, Level: hclog.Info}))
	for name, skipLog := range map[string]bool{"remembered": true, "logged": false} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Record(exampleDecision(skipLog))
			}
		})
	}
}
