package decisionlog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// The operator asks why a request was sent where it was: its own decisions come
// back in order, whatever else the node decided meanwhile, until newer ones have
// taken their room.
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
		t.Error("something is remembered of requests that never were")
	}
	for i := range shardCount * decisionsPerShard * 4 {
		l.Record(Decision{Request: fmt.Sprint("later-", i)})
	}
	if got := l.Explain("r"); got != nil {
		t.Errorf("the memory is not bounded: %v", got)
	}
}
