package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	testLayers = 8
	testModel  = "toy"
	testTokens = 24
)

// fleet is a set of two-stage chains of stand-in engines. The fleet is also the chooser that
// returns these chains.
type fleet struct {
	t      testing.TB
	client *engineclient.Client
	runner *Runner

	mu      sync.Mutex
	chains  [][2]*standin.Server
	results []AttemptResult
}

// testTimeouts are the timeouts of tests that set none. The default timeouts assume an
// otherwise idle machine. When all packages are tested in parallel, a healthy engine
// sometimes gets no CPU for 250 ms. With the default timeouts its chain would count as
// stalled, and the test might have no other chain. Benchmarks use the defaults.
var testTimeouts = Options{MinStallTimeout: time.Second, ReportTimeout: time.Second}

// newFleet starts n chains. Each of the two stages has half of the layers.
func newFleet(t testing.TB, n int, cfg standin.Config, options Options) *fleet {
	t.Helper()
	if _, test := t.(*testing.T); test {
		options.MinStallTimeout = orDefault(options.MinStallTimeout, testTimeouts.MinStallTimeout)
		options.ReportTimeout = orDefault(options.ReportTimeout, testTimeouts.ReportTimeout)
	}
	f := &fleet{t: t, client: engineclient.New(nil)}
	for range n {
		f.chains = append(f.chains, [2]*standin.Server{
			f.start(cfg, 0, testLayers/2-1),
			f.start(cfg, testLayers/2, testLayers-1),
		})
	}
	f.runner = New(f.client, f, options)
	return f
}

func (f *fleet) start(cfg standin.Config, first, last int) *standin.Server {
	cfg.Model, cfg.First, cfg.Last, cfg.Version = testModel, first, last, 1
	srv, err := standin.Start("127.0.0.1:0", cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	return srv
}

func (f *fleet) stop() {
	for _, chain := range f.chains {
		for _, srv := range chain {
			srv.Engine.SetFaults(standin.Faults{})
		}
	}
	f.waitCancelled()
	for _, chain := range f.chains {
		for _, srv := range chain {
			srv.Close()
		}
	}
	f.client.CloseIdle()
}

// Choose returns the first chain that is not excluded.
func (f *fleet) Choose(_ context.Context, excludedReplicas []string) (Chain, error) {
	for i := range f.chains {
		if chain := f.chain(i); !slices.Contains(excludedReplicas, chain.Replica) {
			return chain, nil
		}
	}
	return Chain{}, errors.New("all chains are excluded")
}

func (f *fleet) chain(i int) Chain {
	c := f.chains[i]
	return Chain{
		Replica: fmt.Sprint("replica-", i),
		Stages: []engineapi.Stage{
			{Endpoint: c[0].Address, Address: c[0].Address, First: 0, Last: testLayers/2 - 1},
			{Endpoint: c[1].Address, Address: c[1].Address, First: testLayers / 2, Last: testLayers - 1},
		},
		PlacementVersion: 1,
	}
}

// Ended records the result for the test.
func (f *fleet) Ended(_ Chain, result AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

func question(text string) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: text}}
}

func request(streamID string) Request {
	return Request{
		StreamID: streamID,
		Layers:   testLayers,
		Chat:     engineapi.ChatRequest{Model: testModel, Messages: question("butter for " + streamID), MaxTokens: testTokens},
	}
}

// expectedAnswer returns the answer that the caller must receive.
func expectedAnswer(req Request) string {
	return strings.Join(standin.Answer(req.Layers, req.Chat.Messages, req.Chat.MaxTokens), "")
}

// collect runs a request and returns the delivered tokens as one answer. Before it adds a
// token to the answer, it calls onToken, if not nil, with the token's position.
func (f *fleet) collect(ctx context.Context, req Request, onToken func(position int)) (string, Summary, error) {
	var answer strings.Builder
	summary, err := f.runner.Run(ctx, req, func(token string, trace engineapi.TokenTrace) error {
		if onToken != nil {
			onToken(trace.Position)
		}
		answer.WriteString(token)
		return nil
	})
	return answer.String(), summary, err
}

// waitCancelled fails the test unless all cancels are sent within a minute.
func (f *fleet) waitCancelled() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.runner.Close(ctx); err != nil {
		f.t.Error("cancels not sent within a minute:", err)
	}
}

// waitIdle fails the test unless all slots of every stage are freed after the cancels
// are sent.
func (f *fleet) waitIdle() {
	f.waitCancelled()
	for _, chain := range f.chains {
		f.waitIdleStage(chain[0])
		f.waitIdleStage(chain[1])
	}
}

func (f *fleet) waitIdleStage(srv *standin.Server) {
	deadline := time.Now().Add(5 * time.Second)
	for srv.Engine.Running() > 0 {
		if time.Now().After(deadline) {
			f.t.Error(srv.Address, "still holds", srv.Engine.Running(), "slots")
			return
		}
		time.Sleep(time.Millisecond)
	}
}
