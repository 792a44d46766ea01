// Package decisionlog records why a request was sent where it was, made to wait
// or refused: one log line each, and a bounded memory of the latest for
// `cicadactl explain`.
package decisionlog

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/balance"
)

// LogFormat is the version of the lines that a node writes; it tells it as it starts.
// Readers of lines need it: since 2, late answers say what they were late by.
const LogFormat = 2

// Kind is what was decided.
type Kind string

// Kinds of decision.
const (
	Admit  Kind = "admit"
	Refuse Kind = "refuse"
	Route  Kind = "route"
	// Retry is what follows a try that failed.
	Retry  Kind = "retry"
	Resume Kind = "resume"
	// Reroute leads a request that is underway around a part of its path.
	Reroute Kind = "detour"
	PlaceOrder  Kind = "place"
	Finish Kind = "finish"
)

// Alternative is a candidate that was weighed, with its figure: lower is
// better.
type Alternative struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
	// CachedBlocks is how many blocks of the prompt it is thought to have cached.
	CachedBlocks int `json:"held_blocks,omitempty"`
}

// Note is an input of a decision that is no number.
type Note struct {
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
	// Values are the numbers behind the reason, by name and with units.
	Values map[string]float64 `json:"figures,omitempty"`
	Notes   []Note             `json:"notes,omitempty"`
	// Revision is the version of the document or configuration that was in force.
	Revision int64 `json:"revision,omitempty"`
	// SkipLog decisions are remembered and not logged: where all went well, one request
	// of many is logged as a sample.
	SkipLog bool `json:"-"`
}

// FromChoice begins a decision with what a balancer's choice was made over; an empty one
// for no choice.
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

// Recorder logs decisions and remembers the latest.
type Recorder interface {
	Record(Decision)
}

const (
	shardCount = 16
	// decisionsPerShard bounds the memory: 16 shards of 256 decisions of about 400 bytes
	// are 1.6 MB, a fortieth of the node's 64 MB.
	decisionsPerShard = 256
)

// Log is the Recorder of a node. State is in shards by request id, each under
// its own lock, so that recording does not serialise the data path.
type Log struct {
	logger hclog.Logger
	shards [shardCount]shardOf
}

type shardOf struct {
	mu     sync.Mutex
	latest [decisionsPerShard]Decision
	nextIndex   int
}

// NewLog returns a Log that writes its lines to logger at info level.
func NewLog(logger hclog.Logger) *Log {
	return &Log{logger: logger}
}

// Record logs d and remembers it. Safe for concurrent use.
func (l *Log) Record(d Decision) {
	if !d.SkipLog && l.logger.IsInfo() {
		l.logger.Info("decision", logFields(d)...)
	}
	s := l.shard(d.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[s.nextIndex] = d
	s.nextIndex = (s.nextIndex + 1) % decisionsPerShard
}

// Explain returns what is remembered of a request, oldest first.
func (l *Log) Explain(request string) []Decision {
	s := l.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Decision
	for i := range decisionsPerShard {
		d := s.latest[(s.nextIndex+i)%decisionsPerShard]
		if d.Request == request && request != "" {
			found = append(found, d)
		}
	}
	return found
}

func (l *Log) shard(request string) *shardOf {
	h := fnv.New32a()
	h.Write([]byte(request))
	return &l.shards[h.Sum32()%shardCount]
}

func logFields(d Decision) []any {
	f := []any{"request", d.Request, "kind", d.Kind, "reason", d.Reason}
	f = appendNonEmpty(f, "team", d.Team)
	f = appendNonEmpty(f, "service", d.Service)
	f = appendNonEmpty(f, "chosen", d.Chosen)
	for _, a := range d.Alternatives {
		f = append(f, "alternative."+a.Name, a.Score)
		if a.CachedBlocks > 0 {
			f = append(f, "alternative_held_blocks."+a.Name, a.CachedBlocks)
		}
	}
	for name, value := range d.Values {
		f = append(f, name, value)
	}
	for _, n := range d.Notes {
		f = appendNonEmpty(f, n.Name, n.Text)
	}
	if d.Revision > 0 {
		f = append(f, "revision", d.Revision)
	}
	return f
}

func appendNonEmpty(f []any, name, value string) []any {
	if value == "" {
		return f
	}
	return append(f, name, value)
}
