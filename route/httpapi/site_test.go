package httpapi_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/chains"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/modelservice"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/plainservice"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/route/teamlimiter"
	"github.com/cicadatack/cicadatack/route/upstream"
	standinengine "github.com/cicadatack/cicadatack/standin/engine"
	standinplain "github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

const (
	teamKey   = "menteng-key"
	assistantOnlyKey  = "senen-key" // its team may call the assistant only
	assistant = "pastry-llm"
	stockLedger     = "stock-ledger"
	layers    = 8
)

// testNode is the callers' side of a node before stand-ins. Everything but the
// fleet is the shipped code.
type testNode struct {
	t         *testing.T
	server     *httpapi.Server
	url       string
	document  *document.Document
	directory atomic.Pointer[docindex.Directory]
	store     *storetest.Client
	plainEndpoints    []*standinplain.Server
	engines   [][2]*standinengine.Server
	// respond, if set, answers the plain service's calls in place of the stand-in.
	respond http.HandlerFunc
	// handledCalls gets a value each time that the node is through with a call.
	handledCalls chan struct{}

	mu sync.Mutex
	// plainRequests are the calls that reached any instance of the plain service.
	plainRequests []*http.Request
}

// testNodeConfig sizes a site. checksKeys says that the plain endpoints do.
type testNodeConfig struct {
	chains     int
	checksKeys bool
	tokenTime       time.Duration
	streamOptions    stream.Options
}

func newTestNode(t *testing.T, cfg testNodeConfig) *testNode {
	s := &testNode{t: t, handledCalls: make(chan struct{}, 1000)}
	s.document = &document.Document{
		Format:      document.Format,
		Environment: "java",
		Teams: []document.Team{
			{Name: "menteng", Weight: 1, KeySHA256: []string{digest(teamKey)}},
			{Name: "senen", Weight: 1, KeySHA256: []string{digest(assistantOnlyKey)}, Services: []string{assistant}},
		},
	}
	s.document.Services = []document.Service{s.startModel(cfg), s.startPlain(cfg)}
	s.directory.Store(docindex.Build(s.document, 1, "digest"))
	s.startNode(cfg.streamOptions)
	return s
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *testNode) startModel(cfg testNodeConfig) document.Service {
	m := &document.Model{Layers: layers}
	for i := range cfg.chains {
		replica := document.Replica{Name: fmt.Sprintf("replica-%d", i)}
		var pair [2]*standinengine.Server
		for stage := range pair {
			name := fmt.Sprintf("engine-%d-%d", i, stage)
			first := stage * layers / 2
			last := first + layers/2 - 1
			pair[stage] = s.startEngine(standinengine.Config{Name: name, Model: assistant, First: first, Last: last, Step: cfg.tokenTime})
			s.document.Endpoints = append(s.document.Endpoints, document.Endpoint{Name: name, Address: pair[stage].Address})
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: name, Layers: []int{first, last}})
		}
		s.engines = append(s.engines, pair)
		m.Replicas = append(m.Replicas, replica)
	}
	return document.Service{Name: assistant, Kind: document.KindModel, Model: m}
}

func (s *testNode) startEngine(cfg standinengine.Config) *standinengine.Server {
	server, err := standinengine.Start("127.0.0.1:0", cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	return server
}

func (s *testNode) startPlain(cfg testNodeConfig) document.Service {
	p := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for i := range 2 {
		name := fmt.Sprintf("ledger-%d", i)
		standin := standinplain.New(name, 64)
		server := httptest.NewServer(s.recordRequests(standin))
		s.t.Cleanup(server.Close)
		s.plainEndpoints = append(s.plainEndpoints, standin)
		s.document.Endpoints = append(s.document.Endpoints, document.Endpoint{
			Name: name, Address: server.Listener.Addr().String(), ChecksKeys: cfg.checksKeys,
		})
		p.Endpoints = append(p.Endpoints, name)
	}
	return document.Service{Name: stockLedger, Kind: document.KindPlain, Plain: p}
}

// recordRequests notes each call that reaches an endpoint.
func (s *testNode) recordRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.plainRequests = append(s.plainRequests, r.Clone(context.Background()))
		s.mu.Unlock()
		if s.respond != nil {
			s.respond(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// startNode puts the node's parts together as node/server does.
func (s *testNode) startNode(streams stream.Options) {
	memory := storetest.NewMemory()
	s.t.Cleanup(memory.Close)
	s.store = storetest.NewClient(memory)
	claims := ledger.New(s.store, "java", ledger.Config{CallTimeout: 100 * time.Millisecond})
	s.t.Cleanup(claims.Close)
	registry := service.NewRegistry(service.Config{Node: "entry-1", FailureDomain: "bandung", Now: time.Now})
	registry.Apply(s.directory.Load())
	limit := teamlimiter.New(limits.New(limits.Config{Self: "entry-1"}), time.Now)
	record := decisionlog.NewLog(hclog.NewNullLogger())
	pool := upstream.New(time.Now)
	s.t.Cleanup(pool.Close)
	client := engineclient.New(nil)
	s.t.Cleanup(client.CloseIdle)
	desk := &lifecycle.Manager{Services: registry, TeamLimiter: limit, Recorder: record, Metrics: discardMetrics{}, Now: time.Now}
	s.server = &httpapi.Server{
		Directory: s.directory.Load,
		Now:       time.Now,
		ModelServer: &modelservice.Server{
			Lifecycle: desk, Streams: stream.New(client, nil, streams),
			Chains: &chains.Resolver{}, Plans: discardPlans{}, Metrics: discardMetrics{},
		},
		PlainServer: &plainservice.Server{
			Lifecycle: desk, Claims: claims, Metrics: discardMetrics{},
			Relay: &relay.Server{
				Headers: plainservice.HeaderCodec{}, Pool: pool, Metrics: discardMetrics{}, Recorder: record, Log: hclog.NewNullLogger(), Now: time.Now,
				MaxBufferedBytes: plainservice.MaxAnswerBytes,
			},
		},
	}
	handler := s.server.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { s.handledCalls <- struct{}{} }()
		handler.ServeHTTP(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.url = server.URL
}

type discardPlans struct{}

func (discardPlans) Suspect(string, string)               {}
func (discardPlans) Observe(string, string, []stream.Hop) {}

type discardMetrics struct{}

func (discardMetrics) Request(string, string, string)   {}
func (discardMetrics) Refused(string, string)           {}
func (discardMetrics) FirstToken(string, time.Duration) {}
func (discardMetrics) Waited(string, time.Duration)     {}
func (discardMetrics) Tokens(string, int)               {}
func (discardMetrics) Resumed(string, string)           {}
func (discardMetrics) Dropped(string, string)           {}
func (discardMetrics) Retried(string, string)           {}
func (discardMetrics) Order(string, string)             {}

// apiRequest is one call of a caller.
type apiRequest struct {
	method, path, key, body string
	header                  map[string]string
}

// apiResponse is the answer as the caller has it.
type apiResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func (r apiResponse) outcome() outcome.Outcome {
	return outcome.Outcome(r.header.Get(outcome.Header) + r.trailer.Get(outcome.Header))
}

func (s *testNode) send(a apiRequest) apiResponse {
	got, err := s.sendWithContext(context.Background(), a)
	if err != nil {
		s.t.Fatal(err)
	}
	return got
}

func (s *testNode) sendWithContext(ctx context.Context, a apiRequest) (apiResponse, error) {
	request, err := http.NewRequestWithContext(ctx, a.method, s.url+a.path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		return apiResponse{}, err
	}
	if a.key != "" {
		request.Header.Set("Authorization", "Bearer "+a.key)
	}
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return apiResponse{response.StatusCode, response.Header, response.Trailer, string(body)}, err
}

// orderCount returns the orders that reached any instance of the plain service.
func (s *testNode) orderCount() int {
	count := 0
	for _, p := range s.plainEndpoints {
		count += len(p.Orders())
	}
	return count
}

// openedStreams is how many streams took a slot of any engine.
func (s *testNode) openedStreams() int {
	count := 0
	for _, pair := range s.engines {
		count += pair[0].Engine.Stats().Opened
	}
	return count
}

// setPlainFaults puts faults in force on every instance of the plain service.
func (s *testNode) setPlainFaults(f standinplain.Faults) {
	for _, p := range s.plainEndpoints {
		p.SetFaults(f)
	}
}

func (s *testNode) setStoreDown(down bool) {
	s.store.SetFault(func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: down} })
}
