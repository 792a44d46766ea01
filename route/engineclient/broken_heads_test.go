package engineclient

import (
	"context"
	"testing"

	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// Guards against replies and streams of an engine whose head is none, and against one that says in such a head that
// it has not run a call.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	client := New(nil)
	defer client.CloseIdle()
	const notRun = engineapi.HeaderNotRun + ": 1\r\n"
	for name, answer := range answertest.Broken(`{"model":"toy"}`, notRun) {
		address := answertest.Serve(t, func(string) string { return answer })
		if report, err := client.HoldingReport(context.Background(), address); err == nil || NotRun(err) || HTTPStatus(err) != 0 {
			t.Errorf("%s: %+v, %v", name, report, err)
		}
	}
	for name, answer := range answertest.BrokenHeads(`{"model":"toy"}`, notRun) {
		address := answertest.Serve(t, func(string) string { return answer })
		stream, err := client.Open(context.Background(), address, engineapi.ChatRequest{})
		if err == nil {
			stream.Close()
		}
		if err == nil || NotRun(err) || HTTPStatus(err) != 0 {
			t.Errorf("%s: a stream: %v", name, err)
		}
	}
}

// Guards against a call that runs twice: an engine says that it has not run it, in an answer that turns out to be none
// at its end.
func TestRefusalsWithBrokenTrailersProveNothing(t *testing.T) {
	client := New(nil)
	defer client.CloseIdle()
	for name, answer := range answertest.BrokenTrailers("503 Service Unavailable", "{}", engineapi.HeaderNotRun+": 1\r\n") {
		address := answertest.Serve(t, func(string) string { return answer })
		stream, err := client.Open(context.Background(), address, engineapi.ChatRequest{})
		if err == nil {
			stream.Close()
		}
		if err == nil || NotRun(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
