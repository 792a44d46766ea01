package httpapi_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/stream"
	standinengine "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	prompt       = "Tide windows for the north pens, please"
	answerTokens = 12
	// killAfterTokens is the number of tokens after which a test kills a chain's
	// engine.
	killAfterTokens = 3
)

func chatRequest(stream bool) apiRequest {
	body, err := json.Marshal(engineapi.ChatRequest{
		Model:     assistant,
		Messages:  []engineapi.Message{{Role: "user", Content: prompt}},
		MaxTokens: answerTokens,
		Stream:    stream,
	})
	if err != nil {
		panic(err)
	}
	return apiRequest{method: http.MethodPost, path: engineapi.PathChat, key: teamKey, body: string(body)}
}

func referenceAnswer() string {
	return strings.Join(standinengine.Answer(layers, []engineapi.Message{{Role: "user", Content: prompt}}, answerTokens), "")
}

// event is any event of a stream that a caller receives.
type event struct {
	Choices []engineapi.Choice `json:"choices"`
	Result  *struct {
		Outcome outcome.Outcome `json:"outcome"`
		Tokens  int             `json:"tokens"`
	} `json:"cicadatack"`
	Error *outcome.BodyError `json:"error"`
}

// streamedAnswer is a streamed answer as a caller reads it.
type streamedAnswer struct {
	text      string
	lastEvent event
	complete  bool // the closing marker was the last event
}

func readStream(t *testing.T, body string) streamedAnswer {
	t.Helper()
	var answer streamedAnswer
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		answer.complete = data == engineapi.DoneMarker
		if answer.complete {
			continue
		}
		answer.lastEvent = event{}
		if err := json.Unmarshal([]byte(data), &answer.lastEvent); err != nil {
			t.Fatal(err)
		}
		for _, choice := range answer.lastEvent.Choices {
			answer.text += choice.Delta.Content
		}
	}
	return answer
}

// Without the outcome and the closing marker, the caller of a stream could not tell a
// complete answer from a partial one. The last event and the trailer say the outcome.
func TestStreamedAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	got := n.send(chatRequest(true))
	answer := readStream(t, got.body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("complete %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
	if r := answer.lastEvent.Result; r == nil || r.Outcome != outcome.Done || r.Tokens != answerTokens {
		t.Errorf("last event: %+v", r)
	}
	if got.status != http.StatusOK || got.outcome() != outcome.Done || got.header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("%d, trailer %v, header %v", got.status, got.trailer, got.header)
	}
}

// Callers that don't ask for a stream get the same answer in one piece.
func TestNonStreamedAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	got := n.send(chatRequest(false))
	var answer struct {
		Object  string
		Choices []struct {
			Message engineapi.Message
			Finish  string `json:"finish_reason"`
		}
		Usage struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(got.body), &answer); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].Message.Content != referenceAnswer() || answer.Choices[0].Finish != "stop" {
		t.Errorf("got %+v", answer.Choices)
	}
	if got.outcome() != outcome.Done || answer.Object != "chat.completion" || answer.Usage.Tokens != answerTokens {
		t.Errorf("outcome %q, %s of %d tokens", got.outcome(), answer.Object, answer.Usage.Tokens)
	}
}

// The only chain is killed when the caller has part of the stream. The status has been
// sent already, so clients could take the partial answer for a complete one. The last
// event carries the error, and the closing marker is left out.
func TestInterruptedStream(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1, tokenTime: 20 * time.Millisecond})
	killed := n.killSecondStageAfter(killAfterTokens)
	got := n.send(chatRequest(true))
	<-killed
	answer := readStream(t, got.body)
	if answer.complete || answer.text == "" || !strings.HasPrefix(referenceAnswer(), answer.text) {
		t.Errorf("complete %t: %q, want a beginning of %q", answer.complete, answer.text, referenceAnswer())
	}
	if e := answer.lastEvent.Error; e == nil || e.Outcome != outcome.Unknown || got.outcome() != outcome.Unknown {
		t.Errorf("last event %+v, trailer %v", answer.lastEvent, got.trailer)
	}
}

// The only chain is killed during an answer in one piece. Nothing has been sent to the
// caller yet, so it gets an error and no part of the answer.
func TestInterruptedNonStreamedAnswer(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1, tokenTime: 20 * time.Millisecond})
	killed := n.killSecondStageAfter(killAfterTokens)
	got := n.send(chatRequest(false))
	<-killed
	var body outcome.Body
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	if got.status != http.StatusServiceUnavailable || body.Error.Outcome != outcome.Unknown || got.outcome() != outcome.Unknown {
		t.Errorf("%d %+v", got.status, body)
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("Retry-After is missing")
	}
}

// killSecondStageAfter kills the second engine of the first chain after a number of
// tokens.
func (n *testNode) killSecondStageAfter(tokens int) <-chan struct{} {
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		second := n.engines[0][1]
		for second.Engine.Stats().Steps < tokens {
			time.Sleep(time.Millisecond) // the engine has no event for a token
		}
		second.Kill()
	}()
	return killed
}

// No engine can be reached, so nothing is sent. If the answer were a broken stream,
// callers would not know that a retry is safe. They get a refusal with the outcome "not
// run" and a Retry-After.
func TestUnreachableChains(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 2})
	for _, pair := range n.engines {
		pair[0].Kill()
	}
	got := n.send(chatRequest(true))
	checkRefusal(t, got, http.StatusServiceUnavailable, "no_chain")
	if got.header.Get("Retry-After") == "" {
		t.Error("Retry-After is missing")
	}
}

// If the answer came after the caller's deadline, nobody would read it. The outcome is
// "not run" only if the engine had not yet reported what it holds, because no work is
// sent before that. If the engine was working, the outcome is "unknown".
func TestCallerDeadline(t *testing.T) {
	cases := []struct {
		name   string
		faults standinengine.Faults
		want   outcome.Outcome
	}{
		{"engine frozen", standinengine.Faults{Freeze: true}, outcome.NotRun},
		{"engine at work", standinengine.Faults{SlowPerToken: time.Minute}, outcome.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// The default timeout of the engine report would pass at about the same
			// time.
			n := newTestNode(t, testNodeConfig{chains: 1, streamOptions: stream.Options{ReportTimeout: time.Minute}})
			n.engines[0][0].Engine.SetFaults(c.faults)
			a := chatRequest(true)
			a.header = map[string]string{outcome.HeaderTimeout: "300"}
			start := time.Now()
			got := n.send(a)
			if got.status != http.StatusGatewayTimeout || got.outcome() != c.want {
				t.Errorf("%d %s: %s", got.status, got.outcome(), got.body)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("answered after %s", took)
			}
			if n := n.openedStreams(); c.want == outcome.NotRun && n != 0 {
				t.Errorf("the outcome is not run, but %d streams were opened", n)
			}
		})
	}
}

// If a caller could set the fields that nodes use to address engines, it could choose
// engines or name the stream of another caller. These fields are ignored.
func TestCallerChainFieldsAreIgnored(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	a := chatRequest(true)
	a.body = strings.Replace(a.body, `{`, `{"priority":9,"cicadatack":{"stream":"of-another","epoch":7,"resume_tokens":[" x"]},`, 1)
	answer := readStream(t, n.send(a).body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("complete %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
}

// The link between the stages of the only chain is lost for a moment before the first
// token. Without a retry at the same chain, the caller would be told that its call may
// have run, although the chain is back in a fraction of a second.
func TestOnlyChainIsRetried(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	first := n.engines[0][0].Engine
	first.SetFaults(standinengine.Faults{CutNext: true})
	go func() {
		for first.Stats().Ended < 1 {
			time.Sleep(time.Millisecond)
		}
		first.SetFaults(standinengine.Faults{})
	}()
	answer := readStream(t, n.send(chatRequest(true)).body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("complete %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
}
