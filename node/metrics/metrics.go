// Package metrics names every figure that a node reports and serves them in
// the Prometheus text form. docs/OPERATIONS.md lists them with their alarms.
package metrics

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix = "cicadatack"
	// reportInterval is how often tally hands its figures over. A scrape sees
	// figures at most this old.
	reportInterval = time.Second
)

// Label names.
const (
	labelService = "service"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelStatus  = "status"
	labelTeam    = "team"

	labelPriority = "priority"
)

// Delay buckets in seconds, from under a millisecond on loopback to the ten
// seconds after which nobody waits for a first token.
var delayBuckets = tally.DurationBuckets{
	500 * time.Microsecond,
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// Metrics are the figures of one node. Safe for concurrent use.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	http   http.Handler
}

// New returns the figures of a node named node, in a registry of their own.
// onError is told of a figure that can't be registered, such as one name with
// two sets of labels: the reporter's default is to panic, and a wrong figure
// must not end a node.
func New(node string, onError func(error)) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:      registry,
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"node": node},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, http: reporter.HTTPHandler()}
}

// Handler serves the figures.
func (m *Metrics) Handler() http.Handler {
	return m.http
}

// Close hands over the last figures.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Request counts a final answer by service, team and outcome.
func (m *Metrics) Request(service, team, outcome string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelTeam:    team,
		labelOutcome: outcome,
	}).Counter("requests_total").Inc(1)
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(service, reason string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  reason,
	}).Counter("refused_total").Inc(1)
}

// FirstToken records how long a caller waited for the first token.
func (m *Metrics) FirstToken(service string, d time.Duration) {
	m.service(service).Histogram("first_token_seconds", delayBuckets).RecordDuration(d)
}

// Waited records how long a request waited for room on the node.
func (m *Metrics) Waited(service string, d time.Duration) {
	m.service(service).Histogram("queue_wait_seconds", delayBuckets).RecordDuration(d)
}

// Tokens counts tokens passed to callers.
func (m *Metrics) Tokens(service string, n int) {
	m.service(service).Counter("tokens_total").Inc(int64(n))
}

// Resumed counts streams that went on along another chain.
func (m *Metrics) Resumed(service, reason string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  reason,
	}).Counter("streams_resumed_total").Inc(1)
}

// Retried counts further tries of requests by how the try before them failed.
func (m *Metrics) Retried(service, reason string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  reason,
	}).Counter("retries_total").Inc(1)
}

// RetryLoans counts the retries of a service that this node withdrew to lend them, that it
// borrowed, and those borrowed ones that it used; the numbers are the growth since the last
// call. pooled is how many it holds for others.
func (m *Metrics) RetryLoans(service string, lent, borrowed, used int64, pooled float64) {
	scope := m.service(service)
	scope.Counter("retries_lent_total").Inc(lent)
	scope.Counter("retries_borrowed_total").Inc(borrowed)
	scope.Counter("borrowed_retries_used_total").Inc(used)
	scope.Gauge("retries_pooled").Update(pooled)
}

// Forwarded counts requests that were sent to another node, by what came of it.
func (m *Metrics) Forwarded(service, result string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		"result":     result,
	}).Counter("forwarded_total").Inc(1)
}

// Hedged counts attempts that were made beside that at a silent replica, by what came of them.
func (m *Metrics) Hedged(service, result string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		"result":     result,
	}).Counter("hedges_total").Inc(1)
}

// StrayBytes counts streams in which a replica sent bytes that are no part of them, by what is wrong
// with these.
func (m *Metrics) StrayBytes(service, reason string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  reason,
	}).Counter("stray_bytes_total").Inc(1)
}

// IgnoredBytes counts bytes in streams of replicas that are no events: empty lines, comments and fields
// that receivers of the standard ignore.
func (m *Metrics) IgnoredBytes(service string, n int) {
	m.service(service).Counter("ignored_stream_bytes_total").Inc(int64(n))
}

// UnprovenRefusal counts answers of replicas to requests that may run once at most, whose status promises that the
// request has not run, although the replica has not said so; by status.
func (m *Metrics) UnprovenRefusal(service string, status int) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelStatus:  strconv.Itoa(status),
	}).Counter("unproven_refusals_total").Inc(1)
}

// AnswerMemoryFull counts answers for which the memory for answers did not suffice.
func (m *Metrics) AnswerMemoryFull(service string) {
	m.service(service).Counter("answers_beyond_memory_total").Inc(1)
}

// AnswerMemory sets the number of bytes that answers are charged for.
func (m *Metrics) AnswerMemory(bytes int) {
	m.scope.Gauge("answer_memory_bytes").Update(float64(bytes))
}

// ReplicaEnded counts the requests that were under way at a replica when its process ended.
func (m *Metrics) ReplicaEnded(service string) {
	m.service(service).Counter("requests_at_ended_replicas_total").Inc(1)
}

// IsolatedParts sets how many parts of a service's prompts are isolated and suspect.
func (m *Metrics) IsolatedParts(service string, isolated, suspect int) {
	m.service(service).Gauge("isolated_parts").Update(float64(isolated))
	m.service(service).Gauge("suspect_parts").Update(float64(suspect))
}

// Shed counts requests that were refused because the service was saturated, by priority.
func (m *Metrics) Shed(service string, priority int) {
	m.scope.Tagged(map[string]string{
		labelService:  service,
		labelPriority: strconv.Itoa(priority),
	}).Counter("load_shed_total").Inc(1)
}

// LoadControl sets the state of a service under load control: whether it is saturated, the
// expected wait for the first event, and how many requests per second all nodes together admit;
// 0 if the service is not saturated.
func (m *Metrics) LoadControl(service string, saturated bool, wait time.Duration, admittedPerSecond float64) {
	scope := m.service(service)
	value := 0.0
	if saturated {
		value = 1
	}
	scope.Gauge("load_control_saturated").Update(value)
	scope.Gauge("load_control_wait_seconds").Update(wait.Seconds())
	scope.Gauge("load_control_admitted_per_second").Update(admittedPerSecond)
}

// Dropped counts tokens and stray bytes of engines that were kept from a caller.
func (m *Metrics) Dropped(service, reason string, n int) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  reason,
	}).Counter("tokens_dropped_total").Inc(int64(n))
}

// Order counts an order by the state of its claim.
func (m *Metrics) Order(service, state string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  state,
	}).Counter("orders_total").Inc(1)
}

// OrderOperation counts a claim, result or release of an order by the way that
// it took to its shard of the ledger.
func (m *Metrics) OrderOperation(way string) {
	m.scope.Tagged(map[string]string{labelReason: way}).Counter("order_operations_total").Inc(1)
}

// Revision sets the document revision in force.
func (m *Metrics) Revision(revision int64) {
	m.scope.Gauge("document_revision").Update(float64(revision))
}

// DocumentRefused counts a document that could not be taken, by the reason.
func (m *Metrics) DocumentRefused(reason string) {
	m.scope.Tagged(map[string]string{labelReason: reason}).Counter("documents_refused_total").Inc(1)
}

// Underway sets how many requests the node is serving.
func (m *Metrics) Underway(n int64) {
	m.scope.Gauge("requests_underway").Update(float64(n))
}

// Members sets how many entry VMs the node knows in a state.
func (m *Metrics) Members(state string, n int) {
	m.scope.Tagged(map[string]string{"state": state}).Gauge("members").Update(float64(n))
}

// Health counts replicas that were ejected, probed or have returned.
func (m *Metrics) Health(service, state string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		"state":      state,
	}).Counter("replica_health_changes_total").Inc(1)
}

// CacheEvents counts answers of engines to questions for their cache events, by
// what they meant for the trust in the replica.
func (m *Metrics) CacheEvents(service, change string) {
	m.scope.Tagged(map[string]string{
		labelService: service,
		labelReason:  change,
	}).Counter("cache_event_polls_total").Inc(1)
}

// Slots sets the usable slots of a service on this node.
func (m *Metrics) Slots(service string, n int) {
	m.service(service).Gauge("usable_slots").Update(float64(n))
}

func (m *Metrics) service(name string) tally.Scope {
	return m.scope.Tagged(map[string]string{labelService: name})
}

// ProofAge sets the age of the proof that the configuration is current.
func (m *Metrics) ProofAge(d time.Duration) {
	m.scope.Gauge("configuration_proof_age_seconds").Update(d.Seconds())
}

// Version sets the operator's configuration in force.
func (m *Metrics) Version(version int64) {
	m.scope.Gauge("configuration_version").Update(float64(version))
}

// Queue sets how many requests of a model wait for room, and how many are underway.
func (m *Metrics) Queue(service string, waiting, underway int) {
	m.service(service).Gauge("requests_waiting").Update(float64(waiting))
	m.service(service).Gauge("streams_underway").Update(float64(underway))
}

// Replicas sets how many replicas of a service are in a state.
func (m *Metrics) Replicas(service, state string, n int) {
	m.scope.Tagged(map[string]string{labelService: service, "state": state}).Gauge("replicas").Update(float64(n))
}

// EntriesPassedOver sets how many entries of replicas name no replica to use.
func (m *Metrics) EntriesPassedOver(n int) {
	m.scope.Gauge("replica_entries_passed_over").Update(float64(n))
}

// RateLimits sets how many replicas of a service state a limit on requests, and the sum of
// these limits in requests per second of all nodes together.
func (m *Metrics) RateLimits(service string, replicas int, requestsPerSecond float64) {
	scope := m.scope.Tagged(map[string]string{labelService: service})
	scope.Gauge("rate_limited_replicas").Update(float64(replicas))
	scope.Gauge("rate_limits_requests_per_second").Update(requestsPerSecond)
}

// Pushbacks sets how many replicas of a service want no requests from this node now.
func (m *Metrics) Pushbacks(service string, replicas int) {
	m.service(service).Gauge("pushback_replicas").Update(float64(replicas))
}

// CutOff sets whether this node reaches no replica of a service.
func (m *Metrics) CutOff(service string, cutOff bool) {
	value := 0.0
	if cutOff {
		value = 1
	}
	m.service(service).Gauge("cut_off").Update(value)
}

// Room sets the part of a model's room in a failure domain that this node has booked
// on the fullest replica.
func (m *Metrics) Room(service, domain string, used float64) {
	m.scope.Tagged(map[string]string{labelService: service, "domain": domain}).Gauge("room_used").Update(used)
}

// StoreCall counts a call of the platform's store by its kind and result.
func (m *Metrics) StoreCall(kind, result string) {
	m.scope.Tagged(map[string]string{"kind": kind, "result": result}).Counter("store_calls_total").Inc(1)
}

// CatchUp counts a read of the configuration for a forwarded request, by its result.
func (m *Metrics) CatchUp(err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("configuration_catch_ups_total").Inc(1)
}

// Connections sets how many connections to endpoints are open.
func (m *Metrics) Connections(n int) {
	m.scope.Gauge("endpoint_connections").Update(float64(n))
}
