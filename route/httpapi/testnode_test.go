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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/answermemory"
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
	"github.com/cicadatack/cicadatack/standin/link"
	standinplain "github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

const (
	teamKey          = "menteng-key"
	assistantOnlyKey = "senen-key" // the key of a team that may call only the assistant
	assistant        = "pastry-llm"
	stockLedger      = "stock-ledger"
	layers           = 8
)

// testNode is a node's HTTP API in front of stand-in endpoints. Only the endpoints and
// the metrics are replaced; the rest is the shipped code.
type testNode struct {
	t              *testing.T
	server         *httpapi.Server
	url            string
	document       *document.Document
	documentIndex  atomic.Pointer[docindex.Index]
	store          *storetest.Client
	plainEndpoints []*standinplain.Server
	engines        [][2]*standinengine.Server
	// links are the links by which the node and the engines reach each engine, if
	// testNodeConfig.links is set.
	links    [][2]*link.Link
	registry *service.Registry
	// answers is the memory for answers; nil for no bound.
	answers *answermemory.Budget
	log     logBuffer
	// respond, if set, answers the calls of the plain service instead of the stand-in.
	respond http.HandlerFunc
	// handledCalls receives a value each time that the node has handled a call.
	handledCalls chan struct{}

	mu sync.Mutex
	// plainRequests are the requests that reached any endpoint of the plain service.
	plainRequests []*http.Request
}

// testNodeConfig is the configuration of a testNode. checksKeys says that the endpoints
// of the plain service check idempotency keys.
type testNodeConfig struct {
	chains        int
	checksKeys    bool
	tokenTime     time.Duration
	streamOptions stream.Options
	links         bool
}

func newTestNode(t *testing.T, cfg testNodeConfig) *testNode {
	n := &testNode{t: t, handledCalls: make(chan struct{}, 1000), answers: answermemory.New(8 * plainservice.MaxAnswerBytes)}
	n.document = &document.Document{
		Format:      document.Format,
		Environment: "java",
		Teams: []document.Team{
			{Name: "menteng", Weight: 1, KeySHA256: []string{digest(teamKey)}},
			{Name: "senen", Weight: 1, KeySHA256: []string{digest(assistantOnlyKey)}, Services: []string{assistant}},
		},
	}
	n.document.Services = []document.Service{n.startModel(cfg), n.startPlain(cfg)}
	n.documentIndex.Store(docindex.Build(n.document, 1, "digest"))
	n.startNode(cfg.streamOptions)
	return n
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (n *testNode) startModel(cfg testNodeConfig) document.Service {
	m := &document.Model{Layers: layers}
	for i := range cfg.chains {
		replica := document.Replica{Name: fmt.Sprintf("replica-%d", i)}
		var pair [2]*standinengine.Server
		var links [2]*link.Link
		for stage := range pair {
			name := fmt.Sprintf("engine-%d-%d", i, stage)
			first := stage * layers / 2
			last := first + layers/2 - 1
			pair[stage] = n.startEngine(standinengine.Config{Name: name, Model: assistant, First: first, Last: last, Step: cfg.tokenTime})
			address := pair[stage].Address
			if cfg.links {
				links[stage] = n.startLink(address)
				address = links[stage].Address()
			}
			n.document.Endpoints = append(n.document.Endpoints, document.Endpoint{Name: name, Address: address})
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: name, Layers: []int{first, last}})
		}
		n.engines = append(n.engines, pair)
		n.links = append(n.links, links)
		m.Replicas = append(m.Replicas, replica)
	}
	return document.Service{Name: assistant, Kind: document.KindModel, Model: m}
}

func (n *testNode) startEngine(cfg standinengine.Config) *standinengine.Server {
	server, err := standinengine.Start("127.0.0.1:0", cfg)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(server.Close)
	return server
}

func (n *testNode) startLink(target string) *link.Link {
	l, err := link.Listen(target)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { l.Close() })
	return l
}

// promote puts the document in force once more, as a new revision with another limit of
// a policy.
func (n *testNode) promote() {
	next := *n.document
	next.Policy.QueueDeadlineMillis = 10_000 + int(n.documentIndex.Load().Revision)
	index := docindex.Build(&next, n.documentIndex.Load().Revision+1, "digest")
	n.registry.Apply(index)
	n.documentIndex.Store(index)
}

func (n *testNode) startPlain(cfg testNodeConfig) document.Service {
	p := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for i := range 2 {
		name := fmt.Sprintf("ledger-%d", i)
		standin := standinplain.New(name, 64)
		server := httptest.NewServer(n.recordRequests(standin))
		n.t.Cleanup(server.Close)
		n.plainEndpoints = append(n.plainEndpoints, standin)
		n.document.Endpoints = append(n.document.Endpoints, document.Endpoint{
			Name: name, Address: server.Listener.Addr().String(), ChecksKeys: cfg.checksKeys,
		})
		p.Endpoints = append(p.Endpoints, name)
	}
	return document.Service{Name: stockLedger, Kind: document.KindPlain, Plain: p}
}

// recordRequests records each request that reaches an endpoint.
func (n *testNode) recordRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		n.plainRequests = append(n.plainRequests, r.Clone(context.Background()))
		n.mu.Unlock()
		if n.respond != nil {
			n.respond(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// startNode starts the API with the parts that node/server uses.
func (n *testNode) startNode(streams stream.Options) {
	memory := storetest.NewMemory()
	n.t.Cleanup(memory.Close)
	n.store = storetest.NewClient(memory)
	claims := ledger.New(n.store, "java", ledger.Config{CallTimeout: 100 * time.Millisecond})
	n.t.Cleanup(claims.Close)
	registry := service.NewRegistry(service.Config{Node: "entry-1", FailureDomain: "bandung", Now: time.Now})
	registry.Apply(n.documentIndex.Load())
	n.registry = registry
	limiter := teamlimiter.New(limits.New(limits.Config{Self: "entry-1"}), time.Now)
	recorder := decisionlog.NewLog(hclog.New(&hclog.LoggerOptions{Output: &n.log, Level: hclog.Debug}))
	pool := upstream.New(time.Now)
	n.t.Cleanup(pool.Close)
	client := engineclient.New(nil)
	n.t.Cleanup(client.CloseIdle)
	manager := &lifecycle.Manager{Services: registry, TeamLimiter: limiter, Recorder: recorder, Metrics: discardMetrics{}, Now: time.Now}
	n.server = &httpapi.Server{
		DocumentIndex: n.documentIndex.Load,
		Now:           time.Now,
		ModelServer: &modelservice.Server{
			Lifecycle: manager, Streams: stream.New(client, nil, streams),
			Chains: &chains.Resolver{}, PlanObserver: discardPlans{}, Metrics: discardMetrics{},
		},
		PlainServer: &plainservice.Server{
			Lifecycle: manager, Claims: claims, Metrics: discardMetrics{},
			Relay: &relay.Server{
				HeaderCodec: plainservice.HeaderCodec{}, Pool: pool, Metrics: discardMetrics{}, Recorder: recorder, Log: hclog.NewNullLogger(), Now: time.Now,
				MaxBufferedBytes: plainservice.MaxAnswerBytes, Memory: n.answers,
			},
		},
	}
	handler := n.server.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { n.handledCalls <- struct{}{} }()
		handler.ServeHTTP(w, r)
	}))
	n.t.Cleanup(server.Close)
	n.url = server.URL
}

// logBuffer keeps the decision log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// linesWith returns the lines that contain the text.
func (b *logBuffer) linesWith(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(strings.Split(b.text.String(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}

type discardPlans struct{}

func (discardPlans) ReportPlanMismatch(string, string)    {}
func (discardPlans) Observe(string, string, []stream.Hop) {}

type discardMetrics struct{}

func (discardMetrics) Request(string, string, string)   {}
func (discardMetrics) Refused(string, string)           {}
func (discardMetrics) FirstToken(string, time.Duration) {}
func (discardMetrics) Waited(string, time.Duration)     {}
func (discardMetrics) Tokens(string, int)               {}
func (discardMetrics) Resumed(string, string)           {}
func (discardMetrics) Dropped(string, string, int)      {}
func (discardMetrics) Retried(string, string)           {}
func (discardMetrics) Forwarded(string, string)         {}
func (discardMetrics) Hedged(string, string)            {}
func (discardMetrics) StrayBytes(string, string)        {}
func (discardMetrics) IgnoredBytes(string, int)         {}
func (discardMetrics) UnprovenRefusal(string, int)      {}
func (discardMetrics) AnswerMemoryFull(string)          {}
func (discardMetrics) Shed(string, int)                 {}
func (discardMetrics) Order(string, string)             {}

// apiRequest is one request of a caller.
type apiRequest struct {
	method, path, key, body string
	header                  map[string]string
}

// apiResponse is the answer that the caller receives.
type apiResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func (r apiResponse) outcome() outcome.Outcome {
	return outcome.Outcome(r.header.Get(outcome.Header) + r.trailer.Get(outcome.Header))
}

func (n *testNode) send(a apiRequest) apiResponse {
	got, err := n.sendWithContext(context.Background(), a)
	if err != nil {
		n.t.Fatal(err)
	}
	return got
}

func (n *testNode) sendWithContext(ctx context.Context, a apiRequest) (apiResponse, error) {
	request, err := http.NewRequestWithContext(ctx, a.method, n.url+a.path, bytes.NewReader([]byte(a.body)))
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

// orderCount returns the number of orders that reached any endpoint of the plain
// service.
func (n *testNode) orderCount() int {
	count := 0
	for _, p := range n.plainEndpoints {
		count += len(p.Orders())
	}
	return count
}

// openedStreams returns the number of streams that took a slot of an engine.
func (n *testNode) openedStreams() int {
	count := 0
	for _, pair := range n.engines {
		count += pair[0].Engine.Stats().Opened
	}
	return count
}

// setPlainFaults sets the faults of every endpoint of the plain service.
func (n *testNode) setPlainFaults(f standinplain.Faults) {
	for _, p := range n.plainEndpoints {
		p.SetFaults(f)
	}
}

func (n *testNode) setStoreDown(down bool) {
	n.store.SetFault(func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: down} })
}
