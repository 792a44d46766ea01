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
	notesKey  = "senen-key" // its team may call the assistant only
	assistant = "pastry-llm"
	stock     = "stock-ledger"
	layers    = 8
)

// site is the callers' side of a node before stand-ins. Everything but the
// fleet is the shipped code.
type site struct {
	t         *testing.T
	front     *httpapi.Front
	url       string
	document  *document.Document
	directory atomic.Pointer[docindex.Index]
	store     *storetest.Client
	plains    []*standinplain.Server
	engines   [][2]*standinengine.Server
	// respond, if set, answers the plain service's calls in place of the stand-in.
	respond http.HandlerFunc
	// ended gets a value each time that the node is through with a call.
	ended chan struct{}

	mu sync.Mutex
	// seen are the calls that reached any instance of the plain service.
	seen []*http.Request
}

// siteConfig sizes a site. checksKeys says that the plain endpoints do.
type siteConfig struct {
	chains     int
	checksKeys bool
	step       time.Duration
	streams    stream.Options
}

func newSite(t *testing.T, cfg siteConfig) *site {
	s := &site{t: t, ended: make(chan struct{}, 1000)}
	s.document = &document.Document{
		Format:      document.Format,
		Environment: "java",
		Teams: []document.Team{
			{Name: "menteng", Weight: 1, KeySHA256: []string{digest(teamKey)}},
			{Name: "senen", Weight: 1, KeySHA256: []string{digest(notesKey)}, Services: []string{assistant}},
		},
	}
	s.document.Services = []document.Service{s.startModel(cfg), s.startPlain(cfg)}
	s.directory.Store(docindex.Build(s.document, 1, "digest"))
	s.wire(cfg.streams)
	return s
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *site) startModel(cfg siteConfig) document.Service {
	m := &document.Model{Layers: layers}
	for i := range cfg.chains {
		replica := document.Replica{Name: fmt.Sprintf("replica-%d", i)}
		var pair [2]*standinengine.Server
		for stage := range pair {
			name := fmt.Sprintf("engine-%d-%d", i, stage)
			first := stage * layers / 2
			last := first + layers/2 - 1
			pair[stage] = s.startEngine(standinengine.Config{Name: name, Model: assistant, First: first, Last: last, Step: cfg.step})
			s.document.Endpoints = append(s.document.Endpoints, document.Endpoint{Name: name, Address: pair[stage].Address})
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: name, Layers: []int{first, last}})
		}
		s.engines = append(s.engines, pair)
		m.Replicas = append(m.Replicas, replica)
	}
	return document.Service{Name: assistant, Kind: document.KindModel, Model: m}
}

func (s *site) startEngine(cfg standinengine.Config) *standinengine.Server {
	server, err := standinengine.Start("127.0.0.1:0", cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	return server
}

func (s *site) startPlain(cfg siteConfig) document.Service {
	p := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for i := range 2 {
		name := fmt.Sprintf("ledger-%d", i)
		standin := standinplain.New(name, 64)
		server := httptest.NewServer(s.noting(standin))
		s.t.Cleanup(server.Close)
		s.plains = append(s.plains, standin)
		s.document.Endpoints = append(s.document.Endpoints, document.Endpoint{
			Name: name, Address: server.Listener.Addr().String(), ChecksKeys: cfg.checksKeys,
		})
		p.Endpoints = append(p.Endpoints, name)
	}
	return document.Service{Name: stock, Kind: document.KindPlain, Plain: p}
}

// noting notes each call that reaches an endpoint.
func (s *site) noting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.seen = append(s.seen, r.Clone(context.Background()))
		s.mu.Unlock()
		if s.respond != nil {
			s.respond(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// wire puts the node's parts together as node/server does.
func (s *site) wire(streams stream.Options) {
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
	desk := &lifecycle.Desk{Services: registry, Limits: limit, Record: record, Figures: noFigures{}, Now: time.Now}
	s.front = &httpapi.Front{
		Directory: s.directory.Load,
		Now:       time.Now,
		Models: &modelservice.Server{
			Desk: desk, Streams: stream.New(client, nil, streams),
			Chains: &chains.Resolver{}, Plans: noPlans{}, Figures: noFigures{},
		},
		Plains: &plainservice.Server{
			Desk: desk, Claims: claims, Figures: noFigures{},
			Path: &relay.Server{
				HeaderCodec: plainservice.Dialect{}, Pool: pool, Metrics: noFigures{}, Recorder: record, Log: hclog.NewNullLogger(), Now: time.Now,
				MaxBufferedBytes: plainservice.MaxAnswer,
			},
		},
	}
	handler := s.front.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { s.ended <- struct{}{} }()
		handler.ServeHTTP(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.url = server.URL
}

type noPlans struct{}

func (noPlans) ReportPlanMismatch(string, string)    {}
func (noPlans) Observe(string, string, []stream.Hop) {}

type noFigures struct{}

func (noFigures) Request(string, string, string)   {}
func (noFigures) Refused(string, string)           {}
func (noFigures) FirstToken(string, time.Duration) {}
func (noFigures) Waited(string, time.Duration)     {}
func (noFigures) Tokens(string, int)               {}
func (noFigures) Resumed(string, string)           {}
func (noFigures) Dropped(string, string)           {}
func (noFigures) Retried(string, string)           {}
func (noFigures) Order(string, string)             {}

// asked is one call of a caller.
type asked struct {
	method, path, key, body string
	header                  map[string]string
}

// received is the answer as the caller has it.
type received struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func (r received) outcome() outcome.Outcome {
	return outcome.Outcome(r.header.Get(outcome.Header) + r.trailer.Get(outcome.Header))
}

func (s *site) ask(a asked) received {
	got, err := s.askWith(context.Background(), a)
	if err != nil {
		s.t.Fatal(err)
	}
	return got
}

func (s *site) askWith(ctx context.Context, a asked) (received, error) {
	request, err := http.NewRequestWithContext(ctx, a.method, s.url+a.path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		return received{}, err
	}
	if a.key != "" {
		request.Header.Set("Authorization", "Bearer "+a.key)
	}
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return received{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, response.Header, response.Trailer, string(body)}, err
}

// arrived returns the orders that reached any instance of the plain service.
func (s *site) arrived() int {
	n := 0
	for _, p := range s.plains {
		n += len(p.Orders())
	}
	return n
}

// opened is how many streams took a slot of any engine.
func (s *site) opened() int {
	n := 0
	for _, pair := range s.engines {
		n += pair[0].Engine.Stats().Opened
	}
	return n
}

// misbehave puts faults in force on every instance of the plain service.
func (s *site) misbehave(f standinplain.Faults) {
	for _, p := range s.plains {
		p.SetFaults(f)
	}
}

func (s *site) storeDown(down bool) {
	s.store.SetFault(func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: down} })
}
