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
	// killAfterTokens is the token after which a chain is made to fail.
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

// event is any event of a stream towards a caller.
type event struct {
	Choices []engineapi.Choice `json:"choices"`
	Result  *struct {
		Outcome outcome.Outcome `json:"outcome"`
		Tokens  int             `json:"tokens"`
	} `json:"cicadatack"`
	Error *outcome.BodyError `json:"error"`
}

// streamedAnswer is a streamedAnswer answer as a caller reads it.
type streamedAnswer struct {
	text  string
	lastEvent  event
	complete bool // the closing marker came, as the last event
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

// The caller who asks for a stream gets every token, what became of the request
// in the last event and the trailer, and the closing marker.
func TestStreamedAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1})
	got := s.send(chatRequest(true))
	answer := readStream(t, got.body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("whole %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
	if r := answer.lastEvent.Result; r == nil || r.Outcome != outcome.Done || r.Tokens != answerTokens {
		t.Errorf("last event: %+v", r)
	}
	if got.status != http.StatusOK || got.outcome() != outcome.Done || got.header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("%d, trailer %v, header %v", got.status, got.trailer, got.header)
	}
}

// The caller who asks for no stream gets the same answer in one piece.
func TestNonStreamedAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1})
	got := s.send(chatRequest(false))
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

// The caller has read a part of the stream when the only chain dies. The status
// has gone out, so the last event carries the error and the closing marker is
// left out: no client takes the part for the whole.
func TestInterruptedStream(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1, tokenTime: 20 * time.Millisecond})
	killed := s.killSecondStageAfter(killAfterTokens)
	got := s.send(chatRequest(true))
	<-killed
	answer := readStream(t, got.body)
	if answer.complete || answer.text == "" || !strings.HasPrefix(referenceAnswer(), answer.text) {
		t.Errorf("whole %t: %q, want a beginning of %q", answer.complete, answer.text, referenceAnswer())
	}
	if e := answer.lastEvent.Error; e == nil || e.Outcome != outcome.Unknown || got.outcome() != outcome.Unknown {
		t.Errorf("last event %+v, trailer %v", answer.lastEvent, got.trailer)
	}
}

// The caller asked for the answer in one piece, so nothing has gone out when
// the only chain dies: the caller gets an error and no part of an answer.
func TestInterruptedNonStreamedAnswer(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1, tokenTime: 20 * time.Millisecond})
	killed := s.killSecondStageAfter(killAfterTokens)
	got := s.send(chatRequest(false))
	<-killed
	var body outcome.Body
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	if got.status != http.StatusServiceUnavailable || body.Error.Outcome != outcome.Unknown || got.outcome() != outcome.Unknown {
		t.Errorf("%d %+v", got.status, body)
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("the caller is not told when to come back")
	}
}

// killSecondStageAfter kills the second stage of the first chain once it has run for some
// tokens.
func (s *testNode) killSecondStageAfter(tokens int) <-chan struct{} {
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		second := s.engines[0][1]
		for second.Engine.Stats().Steps < tokens {
			time.Sleep(time.Millisecond) // nothing tells of a step
		}
		second.Kill()
	}()
	return killed
}

// No engine can be reached: nothing was sent, so the caller is told not run and
// when to come back, as a refusal and not as a stream.
func TestUnreachableChains(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 2})
	for _, pair := range s.engines {
		pair[0].Kill()
	}
	got := s.send(chatRequest(true))
	checkRefusal(t, got, http.StatusServiceUnavailable, "no_chain")
	if got.header.Get("Retry-After") == "" {
		t.Error("the caller is not told when to come back")
	}
}

// The caller's own deadline passes: the answer comes then, not later. It says
// not run only if the engine was still being asked what it holds, so that no
// work had been sent; an engine at work leaves it unknown.
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
			// The check's own bound would pass at about the same time.
			s := newTestNode(t, testNodeConfig{chains: 1, streamOptions: stream.Options{ReportTimeout: time.Minute}})
			s.engines[0][0].Engine.SetFaults(c.faults)
			a := chatRequest(true)
			a.header = map[string]string{outcome.HeaderTimeout: "300"}
			begun := time.Now()
			got := s.send(a)
			if got.status != http.StatusGatewayTimeout || got.outcome() != c.want {
				t.Errorf("%d %s: %s", got.status, got.outcome(), got.body)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("answered after %s", took)
			}
			if n := s.openedStreams(); c.want == outcome.NotRun && n != 0 {
				t.Errorf("told not run, but %d streams were opened", n)
			}
		})
	}
}

// A caller who names a chain of its own can't choose engines: the field is the
// nodes' alone, and another caller's stream might be named there.
func TestCallerChainFieldsAreIgnored(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1})
	a := chatRequest(true)
	a.body = strings.Replace(a.body, `{`, `{"priority":9,"cicadatack":{"stream":"of-another","epoch":7,"resume_tokens":[" x"]},`, 1)
	answer := readStream(t, s.send(a).body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("whole %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
}

// The caller gets a whole answer from the only chain, whose link between the stages
// is lost for a moment before the first token. The silence ends the first epoch in a
// fraction of a second; there is no other chain, so the same one is tried again
// rather than the caller told that its call may have run.
func TestOnlyChainIsRetried(t *testing.T) {
	s := newTestNode(t, testNodeConfig{chains: 1})
	first := s.engines[0][0].Engine
	first.SetFaults(standinengine.Faults{CutNext: true})
	go func() {
		for first.Stats().Ended < 1 {
			time.Sleep(time.Millisecond)
		}
		first.SetFaults(standinengine.Faults{})
	}()
	answer := readStream(t, s.send(chatRequest(true)).body)
	if answer.text != referenceAnswer() || !answer.complete {
		t.Errorf("whole %t: %q, want %q", answer.complete, answer.text, referenceAnswer())
	}
}
