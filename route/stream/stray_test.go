package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// strayEvent is an event as an engine sends it.
func strayEvent(text, finish string, trace engineapi.TokenTrace) string {
	choice := engineapi.Choice{Delta: engineapi.Delta{Content: text}}
	if finish != "" {
		choice.FinishReason = &finish
	}
	data, err := json.Marshal(engineapi.Chunk{Choices: []engineapi.Choice{choice}, Trace: &trace})
	if err != nil {
		panic(err) // these fields can always be encoded
	}
	return fmt.Sprintf("data: %s\n\n", data)
}

// allLayers are the spans of a token of the test model.
func allLayers() []engineapi.Span {
	return []engineapi.Span{{Endpoint: "a", Last: testLayers - 1}}
}

// Guards against stray events of a chain that reach the caller, end the answer as complete before its
// last token, or change what the chain is judged by.
func TestStrayEventsAreNoPartOfTheAnswer(t *testing.T) {
	own := func(position int) engineapi.TokenTrace {
		return engineapi.TokenTrace{Stream: "stray", Epoch: 1, Position: position}
	}
	token := func(trace engineapi.TokenTrace) string {
		trace.Spans = allLayers()
		return strayEvent(" STRAY", "", trace)
	}
	closing := func(trace engineapi.TokenTrace) string { return strayEvent("", "stop", trace) }
	foreign, old, future := own(failAt), own(failAt), own(failAt)
	foreign.Stream, old.Epoch, future.Epoch = "another", 0, 7
	foreign.Load = &engineapi.Load{Running: 1 << 40, Draining: true}
	for _, c := range []struct {
		name, bytes string
		epochs      int
		dropped     Reason
	}{
		{"a foreign token", token(foreign), 1, ForeignStream},
		{"a foreign closing event", closing(foreign), 1, ForeignStream},
		{"a token of an old epoch", token(old), 1, OldEpoch},
		{"a closing event of an old epoch", closing(old), 1, OldEpoch},
		{"a token of a later epoch", token(future), 2, FutureEpoch},
		{"a token again", token(own(failAt - 1)), 2, WrongPosition},
		{"a token too early", token(own(failAt + 1)), 2, WrongPosition},
		{"a token without layers", strayEvent(" STRAY", "", own(failAt)), 2, SkippedLayer},
		{"a closing event too early", closing(own(failAt - 1)), 2, WrongPosition},
		{"a closing event too late", closing(own(failAt + 1)), 2, WrongPosition},
		{"a closing event with a token", strayEvent(" STRAY", "stop", own(failAt)), 1, StrayBytes},
		{"a closing event behind which the answer goes on", closing(own(failAt)) + token(own(failAt)), 2, AfterEnd},
		{"a line", "STRAY\n", 1, StrayBytes},
		{"the head of an answer", "HTTP/1.1 200 OK\r\n\r\n", 1, StrayBytes},
		{"an event that is too long", "data: " + strings.Repeat("x", engineclient.MaxEventBytes), 2, StrayBytes},
		{"bytes that make a field of another name", "stray-", 2, WrongPosition},
		{"an event without the product's fields", "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", 1, StrayBytes},
	} {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unframed %v", c.name, unframed), func(t *testing.T) {
				f := newFleet(t, 2, fastEngine, Options{})
				defer f.stop()
				f.chains[0][0].Engine.SetFaults(standin.Faults{Unframed: unframed, Stray: standin.Stray{Bytes: c.bytes, After: failAt}})
				req := request("stray")
				answer, summary, err := f.collect(context.Background(), req, nil)
				if err != nil || answer != expectedAnswer(req) || summary.Epochs != c.epochs || summary.Tokens != testTokens {
					t.Errorf("%v, %q, %+v", err, answer, summary)
				}
				if summary.Dropped[c.dropped] != 1 || len(summary.Dropped) != 1 {
					t.Errorf("dropped %v, want one: %s", summary.Dropped, c.dropped)
				}
			})
		}
	}
}

// Guards against the last token of an answer that is lost because its event also ends the answer, and
// against an engine that fills a node's log.
func TestAnswersWithTooManyViolationsGoOnElsewhere(t *testing.T) {
	for name, stray := range map[string]standin.Stray{
		"the last token in the closing event": {
			Bytes: strayEvent(" STRAY", "stop", engineapi.TokenTrace{Stream: "violations", Epoch: 1, Position: testTokens - 1, Spans: allLayers()}),
			After: testTokens - 1, BreakOff: true,
		},
		"a line again and again": {Bytes: strings.Repeat("STRAY\n", 2*maxStray), After: failAt},
	} {
		f := newFleet(t, 2, fastEngine, Options{})
		f.chains[0][0].Engine.SetFaults(standin.Faults{Stray: stray})
		req := request("violations")
		answer, summary, err := f.collect(context.Background(), req, nil)
		if err != nil || answer != expectedAnswer(req) || summary.Epochs != 2 {
			t.Errorf("%s: %v, %q, %+v", name, err, answer, summary)
		}
		f.stop()
	}
}

// Guards against the load of another engine, or of no engine at all, that is taken for the load of the
// chain because a stray closing event carries it.
func TestStrayClosingEventReportsNoLoad(t *testing.T) {
	f := newFleet(t, 2, fastEngine, Options{})
	defer f.stop()
	foreign := engineapi.TokenTrace{Stream: "another", Epoch: 1, Position: failAt, Load: &engineapi.Load{Running: 1 << 40, Draining: true}}
	f.chains[0][0].Engine.SetFaults(standin.Faults{Stray: standin.Stray{Bytes: strayEvent("", "stop", foreign), After: failAt, BreakOff: true}})
	if _, _, err := f.collect(context.Background(), request("load"), nil); err != nil {
		t.Fatal(err)
	}
	if failed := f.results[0]; failed.End != EndConnectionLost || failed.Load != nil {
		t.Errorf("ended with %s, load %+v", failed.End, failed.Load)
	}
}

// Guards against a chain that stands still and is kept because its stray bytes count as progress.
func TestStrayBytesAreNoProgress(t *testing.T) {
	foreign := strayEvent(" STRAY", "", engineapi.TokenTrace{Stream: "another", Epoch: 1, Spans: allLayers()})
	for name, bytes := range map[string]string{
		"lines": strings.Repeat("STRAY\n", 10), "foreign tokens": strings.Repeat(foreign, 10), "comments": strings.Repeat(": STRAY\n\n", 10),
	} {
		f := newFleet(t, 2, fastEngine, Options{})
		f.chains[0][0].Engine.SetFaults(standin.Faults{CutNext: true, Stray: standin.Stray{Bytes: bytes}})
		req := request("progress")
		req.FirstTokenTimeout = 500 * time.Millisecond
		answer, summary, err := f.collect(context.Background(), req, nil)
		if err != nil || answer != expectedAnswer(req) || summary.Recoveries[0].Cause != EndNoFirstToken {
			t.Errorf("%s: %v, %q, %+v", name, err, answer, summary)
		}
		f.stop()
	}
}

// Guards against an answer whose closing event or marker is sound, and that is run again because of
// what its engine sends behind it.
func TestBytesBehindTheAnswerAreIgnored(t *testing.T) {
	again := strayEvent(" STRAY", "", engineapi.TokenTrace{Stream: "behind", Epoch: 1, Position: testTokens, Spans: allLayers()})
	for name, stray := range map[string]standin.Stray{
		"bytes behind the closing event":  {Bytes: "HTTP/1.1 200 OK\r\n\r\nstray", After: testTokens + 1},
		"bytes behind the marker":         {Bytes: "HTTP/1.1 200 OK\r\n\r\nstray", After: testTokens + 2},
		"a token behind the marker":       {Bytes: again, After: testTokens + 2},
		"the end without the marker":      {Bytes: ": x\n\n", After: testTokens + 1, BreakOff: true},
		"a broken end behind the marker":  {Bytes: "stray", After: testTokens + 2, BreakOff: true},
		"a second marker and white space": {Bytes: "data: [DONE]\n\n\n\n", After: testTokens + 1},
	} {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unframed %v", name, unframed), func(t *testing.T) {
				f := newFleet(t, 1, fastEngine, Options{})
				defer f.stop()
				for call := range 3 { // a connection with stray bytes must not be used again
					req := request(fmt.Sprint("behind-", call))
					bytes := strings.ReplaceAll(stray.Bytes, `"behind"`, strconv.Quote(req.StreamID))
					f.chains[0][0].Engine.SetFaults(standin.Faults{Unframed: unframed, Stray: standin.Stray{Bytes: bytes, After: stray.After, BreakOff: stray.BreakOff}})
					answer, summary, err := f.collect(context.Background(), req, nil)
					if err != nil || answer != expectedAnswer(req) || summary.Epochs != 1 || summary.LastResult.Load == nil {
						t.Errorf("%v, %q, %+v", err, answer, summary)
					}
				}
			})
		}
	}
}
