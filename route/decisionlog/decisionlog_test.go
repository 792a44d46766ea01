package decisionlog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// Operators would be misled if decisions of other requests were mixed in, and the node
// would run out of memory if no decision were ever dropped. Explain returns a request's
// own decisions in order until newer decisions replace them.
func TestExplainReturnsARequestsDecisions(t *testing.T) {
	l := NewLog(hclog.NewNullLogger())
	for i, kind := range []Kind{Admit, Route, Resume, Finish} {
		l.Record(Decision{Request: "r", Kind: kind})
		l.Record(Decision{Request: fmt.Sprint("other-", i), Kind: Admit})
	}
	var kinds []Kind
	for _, d := range l.Explain("r") {
		kinds = append(kinds, d.Kind)
	}
	if want := []Kind{Admit, Route, Resume, Finish}; !slices.Equal(kinds, want) {
		t.Errorf("got %v, want %v", kinds, want)
	}
	if l.Explain("") != nil || l.Explain("unknown") != nil {
		t.Error("Explain returned decisions of an unknown request")
	}
	for i := range shardCount * decisionsPerShard * 4 {
		l.Record(Decision{Request: fmt.Sprint("later-", i)})
	}
	if got := l.Explain("r"); got != nil {
		t.Errorf("decisions stay in memory although newer ones should have replaced them: %v", got)
	}
}
