package httpapi_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	standinengine "github.com/cicadatack/cicadatack/standin/engine"
)

// strayForms are bytes that are no part of an answer of an engine.
var strayForms = map[string]string{
	"an event without fields":  "data: {}\n\n",
	"an event without a trace": "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" STRAY\"}}]}\n\n",
	"a null trace":             "data: {\"choices\":[{\"delta\":{\"content\":\" STRAY\"}}],\"cicadatack\":null}\n\n",
	"another stream":           "data: {\"choices\":[{\"delta\":{\"content\":\" STRAY\"}}],\"cicadatack\":{\"stream\":\"x\",\"epoch\":1,\"position\":3}}\n\n",
	"a closing event":          "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
	"a foreign closing event":  "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"cicadatack\":{\"stream\":\"x\",\"epoch\":1,\"position\":3}}\n\n",
	"the marker":               "data: [DONE]\n\n",
	"an error":                 "data: {\"error\":{\"message\":\"STRAY\"}}\n\n",
	"a line of JSON":           "{\"choices\":[{\"delta\":{\"content\":\" STRAY\"}}]}\n",
	"deep nesting":             "data: " + strings.Repeat(`{"choices":[`, 5000) + "\n\n",
	"a long line":              "data: " + strings.Repeat("x", 80<<10),
	"lines":                    strings.Repeat("data: x\n", 20<<10),
	"bytes without a line end": "\x00\xfeSTRAY",
	"a carriage return":        "\r",
	"an answer":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nSTRAY",
	"a stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
		"data: {\"choices\":[{\"delta\":{\"content\":\" STRAY\"}}],\"cicadatack\":{\"stream\":\"x\",\"epoch\":1,\"position\":0}}\n\ndata: [DONE]\n\n",
}

// callModel asks for an answer and reads it.
func (n *testNode) callModel(stream bool) (apiResponse, streamedAnswer) {
	n.t.Helper()
	got := n.send(chatRequest(stream))
	if stream || got.status != http.StatusOK {
		return got, readStream(n.t, got.body)
	}
	var whole struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(got.body), &whole); err != nil || len(whole.Choices) != 1 {
		n.t.Fatalf("%v: %s", err, got.body)
	}
	return got, streamedAnswer{text: whole.Choices[0].Message.Content, complete: true}
}

// Guards against bytes of a faulty engine that reach callers as parts of an answer, and against answers
// that they end as complete, or begin anew.
func TestStrayBytesAreNoPartOfAnAnswer(t *testing.T) {
	for name, bytes := range strayForms {
		for _, unframed := range []bool{false, true} {
			for _, breakOff := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, unframed %v, breaks off %v", name, unframed, breakOff), func(t *testing.T) {
					t.Parallel()
					for _, after := range []int{0, 3, answerTokens, answerTokens + 1, answerTokens + 2} {
						n := newTestNode(t, testNodeConfig{chains: 3})
						for _, pair := range n.engines {
							pair[0].Engine.SetFaults(standinengine.Faults{Unframed: unframed, Stray: standinengine.Stray{
								Bytes: bytes, After: after, BreakOff: breakOff, Once: true,
							}})
						}
						for _, stream := range []bool{true, false} {
							got, answer := n.callModel(stream)
							if got.status != http.StatusOK || !answer.complete || answer.text != referenceAnswer() || got.outcome() != outcome.Done {
								t.Errorf("after event %d, stream %v: %d %s, complete %v, %q", after, stream, got.status, got.outcome(), answer.complete, answer.text)
							}
						}
					}
				})
			}
		}
	}
}

// Guards against stray bytes that cut an answer which can go on without them, that end it as complete
// although no other chain can go on, and that operators can't see.
func TestStrayBytesAtTheOnlyChain(t *testing.T) {
	ending := map[string]bool{
		"the marker": true, "a long line": true, "lines": true, "bytes without a line end": true, "an answer": true, "a stream": true,
	}
	for name, bytes := range strayForms {
		for _, after := range []int{0, 3, answerTokens} {
			for _, stream := range []bool{true, false} {
				n := newTestNode(t, testNodeConfig{chains: 1})
				n.engines[0][0].Engine.SetFaults(standinengine.Faults{Stray: standinengine.Stray{Bytes: bytes, After: after}})
				got := n.send(chatRequest(stream))
				answer := readStream(t, got.body)
				whole := got.outcome() == outcome.Done && (answer.complete || !stream)
				if whole == ending[name] || !strings.HasPrefix(referenceAnswer(), answer.text) {
					t.Errorf("%s after event %d, stream %v: %d %s, complete %v, %q", name, after, stream, got.status, got.outcome(), answer.complete, answer.text)
				}
				if visible := name != "the marker" && name != "a carriage return"; visible && len(n.log.linesWith("kind=drop")) == 0 {
					t.Errorf("%s after event %d: no decision line", name, after)
				}
			}
		}
	}
}

// Guards against bytes before the head of an answer that are taken for the answer.
func TestStrayBytesBeforeTheHead(t *testing.T) {
	for name, bytes := range strayForms {
		n := newTestNode(t, testNodeConfig{chains: 3})
		for _, pair := range n.engines {
			pair[0].Engine.SetFaults(standinengine.Faults{Stray: standinengine.Stray{Bytes: bytes, BeforeHead: true, Once: true}})
		}
		for _, stream := range []bool{true, false} {
			got, answer := n.callModel(stream)
			if got.status != http.StatusOK || !answer.complete || answer.text != referenceAnswer() {
				t.Errorf("%s, stream %v: %d %s, %q", name, stream, got.status, got.outcome(), answer.text)
			}
		}
	}
}
