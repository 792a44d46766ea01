package losses

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this layer's errors.
var Error = errs.Class("losses")

// messages of the lines that are read; all others are counted only.
const (
	messageDecision = "decision"
	messageStarted  = "started"
	messageStopped  = "stopped"
	messageStill    = "stood still"
)

// kinds of decisions that are read.
const (
	kindRefuse = "refuse"
	kindRetry  = "retry"
	kindDetour = "detour"
	kindFinish = "finish"
)

// reasons of a finish.
const (
	reasonDone = "done"
	reasonLeft = "the caller left"
	reasonCut  = "answer cut: "
)

// line is what is read of a log line. Times are in milliseconds; flags are numbers, as
// figures of decisions are.
type line struct {
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Node    string    `json:"node"`
	Domain  string    `json:"domain"`
	Format  int       `json:"log_format"`

	Request string `json:"request"`
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Service string `json:"service"`
	End     string `json:"end"`
	// Left is the replica whose attempt the node ended because it was silent.
	Left string `json:"left"`

	Status    float64 `json:"status"`
	NotRun    float64 `json:"not_run"`
	Late      float64 `json:"late"`
	Taken     float64 `json:"taken"`
	Crossings float64 `json:"crossings"`
	Events    float64 `json:"events"`

	SilentMillis       float64  `json:"silent_ms"`
	WaitedMillis       float64  `json:"waited_ms"`
	TookMillis         float64  `json:"took_ms"`
	FirstMillis        *float64 `json:"first_ms"`
	LongestMillis      float64  `json:"longest_pause_ms"`
	ObjectiveMillis    float64  `json:"objective_ms"`
	PauseLimitMillis   float64  `json:"pause_limit_ms"`
	WaitedRoomMillis   float64  `json:"waited_room_ms"`
	WaitedBudgetMillis float64  `json:"waited_budget_ms"`
	StillMillis        float64  `json:"still_ms"`
	SlowestPace        float64  `json:"slowest_pace"`

	// text is the line as it was written, where examples are asked for.
	text string
}

// parse reads one line: the JSON object that it ends with.
func parse(text []byte) (line, error) {
	var l line
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return l, Error.New("no structured line")
	}
	if err := json.Unmarshal(text[begin:], &l); err != nil {
		return l, Error.New("cut or not JSON: %v", err)
	}
	if l.Message == "" || l.At.IsZero() {
		return l, Error.New("a line without a message or a time")
	}
	return l, nil
}

// stream says whether a finish is that of a stream.
func (l line) stream() bool { return l.FirstMillis != nil }

// paused says whether a stream's longest pause was over its limit.
func (l line) paused() bool { return l.PauseLimitMillis > 0 && l.LongestMillis > l.PauseLimitMillis }

// lateness is how far the answer was over its objective, in milliseconds.
func (l line) lateness() float64 {
	if !l.stream() {
		return max(0, l.TookMillis-l.ObjectiveMillis)
	}
	over := max(0, *l.FirstMillis-l.ObjectiveMillis)
	if l.paused() {
		over = max(over, l.LongestMillis-l.PauseLimitMillis)
	}
	return over
}

// tries that ended without the replica's fault, by words of their log lines.
var tryWords = []struct {
	words string
	cause Cause
}{
	{"unsound answer", UnsoundAnswer},
	{"stray bytes after event", StrayBytes},
	{"no stream of events", StrayBytes},
	{"the endpoint's own", ReplicaError},
	{"goes on sooner", LostPart},
	{"part of the path", LostPart},
	{"at fault", ReplicaRefused},
	{" from ", ReplicaRefused},
	{"not proved", Stale},
}

// ofTry is the cause that the end of a try names.
func ofTry(end string, notRun bool) Cause {
	for _, t := range tryWords {
		if strings.Contains(end, t.words) {
			return t.cause
		}
	}
	if end == "" && notRun {
		return ReplicaRefused
	}
	return ReplicaGone
}
