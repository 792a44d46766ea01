package headers

import (
	"net/http"
	"reflect"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// Guards against a header between nodes that is passed on to replicas or callers.
func TestForwardHeadersAreTaken(t *testing.T) {
	h := http.Header{}
	forward := Forward{Node: "front-1", Revision: 7, Service: "llm", ElapsedMicros: 1500, MayHaveRunOn: []string{"i-1"}, ResumeAfter: "12"}
	result := ForwardResult{Refusal: &ForwardRefusal{Code: "no_room", Message: "say \"when\"\n", Outcome: outcome.NotRun, RetryAfterMicros: 400}}
	forward.Set(h)
	result.Set(h)
	if got, ok := TakeForward(h); !ok || !reflect.DeepEqual(got, forward) {
		t.Errorf("%+v, %v", got, ok)
	}
	if got, ok := TakeForwardResult(h); !ok || !reflect.DeepEqual(got, result) {
		t.Errorf("%+v, %v", got, ok)
	}
	if len(h) != 0 {
		t.Errorf("left: %v", h)
	}
}

// Guards against a request that is taken for a forwarded one because of a header that no node
// writes.
func TestMalformedForwardHeadersAreRefused(t *testing.T) {
	for _, text := range []string{"", "1", "{", "{}", `{"node":""}`, `{"node":"a","elapsed_us":-1}`, `{"node":"a","elapsed_us":"1"}`, `{"node":"a","elapsed_us":9000000000000000000}`} {
		if got, ok := TakeForward(http.Header{headerForward: {text}}); ok {
			t.Errorf("%q is read as %+v", text, got)
		}
	}
}
