// Package decisionlog records why a request was sent to an endpoint, delayed or
// refused. Each decision is written as one log line. The latest decisions also stay in
// memory for `cicadactl explain`.
package decisionlog

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/balance"
)

// LogFormat is the version of the log lines that a node writes. The node logs LogFormat
// when it starts, because programs that read the lines need it. Since version 2, the
// line of an answer that missed an objective gives the objectives and the waiting
// times.
const LogFormat = 2

// Kind says what was decided.
type Kind string

// Kinds of decision.
const (
	Admit  Kind = "admit"
	Refuse Kind = "refuse"
	Route  Kind = "route"
	// Retry decides what follows a failed attempt.
	Retry  Kind = "retry"
	Resume Kind = "resume"
	// Reroute replaces part of the path of a request that is being served.
	Reroute Kind = "detour"
	// Hedge makes another attempt beside the present one, whose replica is silent, or ends it.
	Hedge Kind = "hedge"
	// Forward sends the request to another node, because this node reaches no endpoint that
	// could serve it.
	Forward Kind = "forward"
	// PlaceOrder concerns an order: a call that may run at most once.
	PlaceOrder Kind = "place"
	// Pushback records that an engine wants no requests for a time.
	Pushback Kind = "pushback"
	// Drop keeps what an engine sent from the caller, because it is no part of the answer.
	Drop   Kind = "drop"
	Finish Kind = "finish"
)

// Alternative is a candidate of the balancer with its score. The lowest score is the
// best.
type Alternative struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
	// CachedBlocks is the estimated number of the prompt's blocks in the candidate's
	// prefix cache.
	CachedBlocks int `json:"held_blocks,omitempty"`
}

// TextValue is an input of a decision that is not a number.
type TextValue struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Decision is one routing or placement decision.
type Decision struct {
	At           time.Time     `json:"at"`
	Request      string        `json:"request"`
	Kind         Kind          `json:"kind"`
	Team         string        `json:"team,omitempty"`
	Service      string        `json:"service,omitempty"`
	Chosen       string        `json:"chosen,omitempty"`
	Reason       string        `json:"reason"`
	Alternatives []Alternative `json:"alternatives,omitempty"`
	// Values are the numbers behind the decision, by name. Names of quantities include
	// the unit.
	Values     map[string]float64 `json:"figures,omitempty"`
	TextValues []TextValue        `json:"notes,omitempty"`
	// Revision is the version of the document or configuration that was in force.
	Revision int64 `json:"revision,omitempty"`
	// SkipLog keeps the decision out of the log but not out of memory. Of the requests
	// without a retry, only a sample is logged.
	SkipLog bool `json:"-"`
}

// FromChoice returns a Decision with the reason, score and alternatives of a balancer's
// choice. If choice is nil, the Decision is empty.
func FromChoice(choice *balance.Choice) Decision {
	d := Decision{Values: map[string]float64{}}
	if choice == nil {
		return d
	}
	d.Reason = choice.Reason.String()
	d.Values["score"] = choice.Score
	if choice.CachedBlocks > 0 {
		d.Values["held_blocks"] = float64(choice.CachedBlocks)
	}
	for _, other := range choice.Alternatives {
		if other.ID != "" {
			d.Alternatives = append(d.Alternatives, Alternative{Name: other.ID, Score: other.Score, CachedBlocks: other.CachedBlocks})
		}
	}
	return d
}

// Recorder logs decisions and keeps the latest in memory.
type Recorder interface {
	Record(Decision)
}

const (
	shardCount = 16
	// decisionsPerShard bounds the memory: 16 shards of 256 decisions of about 400
	// bytes take 1.6 MB, a fortieth of the node's 64 MB.
	decisionsPerShard = 256
)

// Log is the Recorder of a node. Decisions are kept in shards by request ID. Each shard
// has its own lock, so that recording does not serialize all requests.
type Log struct {
	logger hclog.Logger
	shards [shardCount]decisionShard
}

type decisionShard struct {
	mu        sync.Mutex
	decisions [decisionsPerShard]Decision
	nextIndex int
}

// NewLog returns a Log that writes its lines to logger at info level.
func NewLog(logger hclog.Logger) *Log {
	return &Log{logger: logger}
}

// Record logs the decision and keeps it in memory. Safe for concurrent use.
func (l *Log) Record(d Decision) {
	if !d.SkipLog && l.logger.IsInfo() {
		l.logger.Info("decision", logFields(d)...)
	}
	s := l.shardOf(d.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions[s.nextIndex] = d
	s.nextIndex = (s.nextIndex + 1) % decisionsPerShard
}

// Explain returns the decisions about a request that are still in memory, oldest first.
func (l *Log) Explain(request string) []Decision {
	s := l.shardOf(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Decision
	for i := range decisionsPerShard {
		d := s.decisions[(s.nextIndex+i)%decisionsPerShard]
		if d.Request == request && request != "" {
			found = append(found, d)
		}
	}
	return found
}

func (l *Log) shardOf(request string) *decisionShard {
	h := fnv.New32a()
	h.Write([]byte(request))
	return &l.shards[h.Sum32()%shardCount]
}

func logFields(d Decision) []any {
	fields := []any{"request", d.Request, "kind", d.Kind, "reason", d.Reason}
	fields = appendNonEmpty(fields, "team", d.Team)
	fields = appendNonEmpty(fields, "service", d.Service)
	fields = appendNonEmpty(fields, "chosen", d.Chosen)
	for _, a := range d.Alternatives {
		fields = append(fields, "alternative."+a.Name, a.Score)
		if a.CachedBlocks > 0 {
			fields = append(fields, "alternative_held_blocks."+a.Name, a.CachedBlocks)
		}
	}
	for name, value := range d.Values {
		fields = append(fields, name, value)
	}
	for _, n := range d.TextValues {
		fields = appendNonEmpty(fields, n.Name, n.Text)
	}
	if d.Revision > 0 {
		fields = append(fields, "revision", d.Revision)
	}
	return fields
}

func appendNonEmpty(f []any, name, value string) []any {
	if value == "" {
		return f
	}
	return append(f, name, value)
}
