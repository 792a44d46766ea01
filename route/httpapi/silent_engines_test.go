package httpapi_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	standinengine "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// silentChains are the chains of a node whose engines fall silent.
	silentChains = 5
	// longAnswerTokens of longAnswerStep each are long enough for an answer to be underway
	// when the engines fall silent and when they go on. More tokens in the same time keep
	// only the machine busy.
	longAnswerTokens = 25
	longAnswerStep   = 20 * time.Millisecond
	// callsBefore are the calls before the engines fall silent, callsMeanwhile those that
	// come while they are. All of them have room at the engines at once.
	callsBefore, callsMeanwhile = 30, 42
	callInterval                = 20 * time.Millisecond // before the silence
	// callerTimeout is how long each caller waits: longer than any silence.
	callerTimeout = 20 * time.Second
)

// Guards against calls that the node refuses, and streams that it cuts, because sound
// engines are silent for a while, with and without new documents meanwhile.
func TestCallsOutliveSilentEngines(t *testing.T) {
	kinds := []struct {
		name    string
		silence func(*link.Link)
	}{
		{"connections accepted", (*link.Link).Freeze},
		{"new connections hang", func(l *link.Link) { l.Partition(link.Both) }},
	}
	cases := []struct {
		name       string
		silent     int
		lasts      time.Duration
		promotions int
	}{
		{"all for 1 s", silentChains, time.Second, 0},
		{"all for 1.9 s, two documents", silentChains, 1900 * time.Millisecond, 2},
		{"three fifths for 1.3 s, a document", silentChains * 3 / 5, 1300 * time.Millisecond, 1},
		{"all for 5 s, a document", silentChains, 5 * time.Second, 1},
	}
	for _, kind := range kinds {
		for _, c := range cases {
			t.Run(kind.name+"/"+c.name, func(t *testing.T) {
				s := newSilenceTest(t, silentChains)
				s.startCalls(callsBefore, callInterval)
				s.each(c.silent, kind.silence)
				for range c.promotions {
					s.startCalls(callsMeanwhile/(c.promotions+1), c.lasts/callsMeanwhile)
					s.node.promote()
				}
				s.startCalls(callsMeanwhile/(c.promotions+1), c.lasts/callsMeanwhile)
				s.each(c.silent, (*link.Link).Heal)
				s.checkAnswers()
			})
		}
	}
}

// Guards against a stream that is cut after a fraction of a second because its only chain
// is silent, and there is no other one to resume on.
func TestStreamOutlivesItsOnlySilentChain(t *testing.T) {
	s := newSilenceTest(t, 1)
	s.startCalls(3, callInterval)
	time.Sleep(5 * callInterval)
	s.each(1, (*link.Link).Freeze)
	time.Sleep(1500 * time.Millisecond)
	s.each(1, (*link.Link).Heal)
	s.checkAnswers()
}

// Guards against calls that wait for silent engines beyond their deadline.
func TestSilentEnginesEndCallsAtTheirDeadline(t *testing.T) {
	s := newSilenceTest(t, 2)
	s.each(2, (*link.Link).Freeze)
	a := longChatRequest("deadline")
	a.header[outcome.HeaderTimeout] = "1500"
	start := time.Now()
	got := s.node.send(a)
	if took := time.Since(start); got.status != http.StatusGatewayTimeout || got.outcome() != outcome.NotRun || took < 1400*time.Millisecond || took > 3*time.Second {
		t.Errorf("%d %s after %s: %s", got.status, got.outcome(), took, got.body)
	}
	s.each(2, (*link.Link).Heal)
}

// Guards against a silent engine that delays the refusal of calls by engines that are
// gone: no engine listens, so no call can be served, and waiting changes nothing.
func TestGoneEnginesRefuseAtOnce(t *testing.T) {
	s := newSilenceTest(t, 3)
	s.each(3, (*link.Link).Cut)
	start := time.Now()
	got := s.node.send(longChatRequest("gone"))
	checkRefusal(t, got, http.StatusServiceUnavailable, "no_chain")
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %s", took)
	}
}

// Guards against calls that are refused because other engines are gone, although a sound
// one is only silent for a while.
func TestCallWaitsForSilentEngineAmongGoneOnes(t *testing.T) {
	s := newSilenceTest(t, 3)
	s.each(3, (*link.Link).Cut)
	for _, l := range s.node.links[2] {
		l.Heal()
		l.Freeze()
	}
	s.startCalls(10, callInterval)
	time.Sleep(time.Second)
	for _, l := range s.node.links[2] {
		l.Heal()
	}
	s.checkAnswers()
}

// silenceTest sends calls to a node whose engines can be made silent.
type silenceTest struct {
	t       *testing.T
	node    *testNode
	calls   sync.WaitGroup
	started int

	mu      sync.Mutex
	answers []timedAnswer
}

type timedAnswer struct {
	name string
	apiResponse
	took time.Duration
	err  error
}

func newSilenceTest(t *testing.T, chains int) *silenceTest {
	return &silenceTest{t: t, node: newTestNode(t, testNodeConfig{chains: chains, links: true, tokenTime: longAnswerStep})}
}

// each changes the links of the first chains.
func (s *silenceTest) each(chains int, change func(*link.Link)) {
	for _, pair := range s.node.links[:chains] {
		for _, l := range pair {
			change(l)
		}
	}
}

// startCalls starts calls at an interval, and returns after the last interval.
func (s *silenceTest) startCalls(n int, interval time.Duration) {
	for range n {
		name := fmt.Sprint("call-", s.started)
		s.started++
		s.calls.Go(func() { s.call(name) })
		time.Sleep(interval)
	}
}

func (s *silenceTest) call(name string) {
	start := time.Now()
	got, err := s.node.sendWithContext(s.t.Context(), longChatRequest(name))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, timedAnswer{name, got, time.Since(start), err})
}

// checkAnswers waits for all calls and fails the test for each that is not answered whole.
func (s *silenceTest) checkAnswers() {
	s.t.Helper()
	s.calls.Wait()
	refused, cut := 0, 0
	for _, a := range s.answers {
		switch {
		case a.err == nil && a.status == http.StatusOK && s.whole(a):
		case a.status == http.StatusOK:
			cut++
			s.t.Errorf("%s cut after %s: %v %s", a.name, a.took, a.err, lastLine(a.body))
		default:
			refused++
			s.t.Errorf("%s refused after %s: %d %v %s", a.name, a.took, a.status, a.err, a.body)
		}
		if id := a.header.Get(outcome.HeaderRequest); s.t.Failed() && refused+cut == 1 && id != "" {
			s.t.Log(strings.Join(s.node.log.linesWith(id), "\n"))
		}
	}
	s.t.Logf("%d calls, %d refused, %d cut", len(s.answers), refused, cut)
}

func (s *silenceTest) whole(a timedAnswer) bool {
	answer := readStream(s.t, a.body)
	want := strings.Join(standinengine.Answer(layers, longMessages(a.name), longAnswerTokens), "")
	return answer.complete && answer.text == want
}

func lastLine(body string) string {
	body = strings.TrimSpace(body)
	return body[strings.LastIndex(body, "\n")+1:]
}

func longMessages(name string) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: "Tide windows for " + name}}
}

func longChatRequest(name string) apiRequest {
	body, err := json.Marshal(engineapi.ChatRequest{
		Model: assistant, Messages: longMessages(name), MaxTokens: longAnswerTokens, Stream: true,
	})
	if err != nil {
		panic(err)
	}
	return apiRequest{
		method: http.MethodPost, path: engineapi.PathChat, key: teamKey, body: string(body),
		header: map[string]string{outcome.HeaderTimeout: fmt.Sprint(callerTimeout.Milliseconds())},
	}
}
