package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// BenchmarkRunnerToken measures the node's time per token, without network and engine. The
// time includes parsing the event, the token check, gap measurements and the watchdog.
func BenchmarkRunnerToken(b *testing.B) { benchToken(b, engineapi.Artifact{}) }

// BenchmarkRunnerTokenWithArtifact is BenchmarkRunnerToken with weights and an adapter
// named in each span.
func BenchmarkRunnerTokenWithArtifact(b *testing.B) {
	benchToken(b, engineapi.Artifact{Weights: "2026-12", Adapter: "reorder-notes@3"})
}

func benchToken(b *testing.B, artifact engineapi.Artifact) {
	stages := []engineapi.Stage{{Endpoint: "a", Address: "a:1", Last: 3}, {Endpoint: "b", Address: "b:1", First: 4, Last: 7}}
	canned := &cannedEngine{stages: stages, tokens: b.N, artifact: artifact}
	chooser := oneChain{Chain{Replica: "r", Stages: stages, PlacementVersion: 1, Artifact: artifact}}
	runner := New(engineclient.New(canned), chooser, Options{MaxTokens: b.N + 1})
	b.ReportAllocs()
	b.ResetTimer()
	summary, err := runner.Run(context.Background(), request("canned"), func(string, engineapi.TokenTrace) error { return nil })
	if err != nil || summary.Tokens != b.N {
		b.Fatal(err, summary)
	}
}

// oneChain is a chooser that always returns the same chain.
type oneChain struct{ chain Chain }

func (o oneChain) Choose(context.Context, []string) (Chain, error) { return o.chain, nil }
func (o oneChain) Ended(Chain, AttemptResult)                      {}

// cannedEngine is a transport that generates the replies of a chain's engines in memory.
type cannedEngine struct {
	stages   []engineapi.Stage
	tokens   int
	artifact engineapi.Artifact
}

// RoundTrip answers calls for engine reports, and chat requests.
func (c *cannedEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: r}
	if r.URL.Path != engineapi.PathHolding {
		resp.Body = io.NopCloser(&cannedAnswer{tokens: c.tokens, eventFormat: cannedEventWith(c.artifact)})
		return resp, nil
	}
	for _, s := range c.stages {
		if s.Address == r.URL.Host {
			report := engineapi.Report{Holding: engineapi.Holding{
				Model: testModel, Weights: c.artifact.Weights, First: s.First, Last: s.Last, PlacementVersion: 1,
			}}
			if name, version, ok := strings.Cut(c.artifact.Adapter, "@"); ok {
				report.Adapters = []engineapi.Adapter{{Name: name, Version: version}}
			}
			data, err := json.Marshal(report)
			resp.Body = io.NopCloser(strings.NewReader(string(data)))
			return resp, err
		}
	}
	return nil, io.ErrUnexpectedEOF
}

// cannedAnswer is the response body of an answer. Each event is generated when it is read.
type cannedAnswer struct {
	tokens, position int
	eventFormat      string
	unread           []byte
}

// cannedEventWith returns a format like cannedEvent whose spans name an artifact.
func cannedEventWith(a engineapi.Artifact) string {
	if a == (engineapi.Artifact{}) {
		return cannedEvent
	}
	names := fmt.Sprintf(`,"weights":%q,"adapter":%q}`, a.Weights, a.Adapter)
	head, spans, _ := strings.Cut(cannedEvent, `"spans"`)
	return head + `"spans"` + strings.NewReplacer("},{", names+",{", "}]", names+"]").Replace(spans)
}

const cannedEvent = `data: {"id":"canned","object":"chat.completion.chunk","model":"toy","choices":[{"index":0,"delta":{"content":" tide.1234"},"finish_reason":%s}],"cicadatack":{"stream":"canned","epoch":1,"position":%d,"spans":[{"endpoint":"127.0.0.1:41267","first":0,"last":3,"micros":1893},{"endpoint":"127.0.0.1:36809","first":4,"last":7,"micros":1145}]}}` + "\n\n"

func (a *cannedAnswer) Read(p []byte) (int, error) {
	for len(a.unread) == 0 {
		switch {
		case a.position < a.tokens:
			a.unread = fmt.Appendf(a.unread[:0], a.eventFormat, "null", a.position)
		case a.position == a.tokens:
			a.unread = fmt.Appendf(a.unread[:0], a.eventFormat, `"stop"`, a.position)
		default:
			return 0, io.EOF
		}
		a.position++
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, nil
}
