// Package engineapi holds the messages exchanged with model engines: the
// chat-completions form with server-sent events, and the extension object
// "cicadatack" in which a pipeline's stages name the layers that they ran.
// docs/PROTOCOL.md describes the calls.
package engineapi

// Paths of the calls that an engine answers.
const (
	PathChat    = "/v1/chat/completions"
	PathLoad    = "/v1/load"
	PathHolding = "/v1/holding"
	PathWay     = "/v1/path"
	PathOrders  = "/v1/orders"
	PathCancel  = "/v1/cancel"
	PathExport  = "/v1/kv/export"
	PathImport  = "/v1/kv/import"
	PathEvents  = "/v1/cache/events"
)

// HeaderNotRun is set on an engine's or service's refusal before any work.
const HeaderNotRun = "Cicadatack-Not-Run"

// HeaderRateLimit states how many requests per second, a decimal number, a plain service's
// endpoint takes from all nodes together, for as long as its responses have the header.
const HeaderRateLimit = "Cicadatack-Rate-Limit"

// HeaderRetryAfter states, in the refusal with status 503 of an engine or of a plain service's
// endpoint, for how many seconds, a decimal number, it wants no further requests from the node
// that it refused.
const HeaderRetryAfter = "Retry-After"

// HeaderLeaving is "1" in all responses of a plain service's endpoint that is about to exit and
// wants no new requests. Engines say so in their load reports (Load.Draining).
const HeaderLeaving = "Cicadatack-Leaving"

// DoneMarker closes an event stream in the chat-completions form.
const DoneMarker = "[DONE]"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of PathChat, towards callers and engines alike.
// Callers leave Pipeline out.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority,omitempty"`
	Pipeline  *Pipeline `json:"cicadatack,omitempty"`
}

// Stage is one engine of a chain and the layers it is to run, both inclusive.
type Stage struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	First    int    `json:"first"`
	Last     int    `json:"last"`
}

// Pipeline tells the first engine of a chain which stream this is, where the
// rest of the chain stands and where to resume. ResumeTokens are the tokens
// already delivered; the next token has position len(ResumeTokens). KVHandle,
// if set, names exported KV cache to import in place of recomputing them.
type Pipeline struct {
	Stream           string   `json:"stream"`
	Epoch            uint32   `json:"epoch"`
	PlacementVersion int64    `json:"placement_version"`
	Chain            []Stage  `json:"chain"`
	ResumeTokens     []string `json:"resume_tokens,omitempty"`
	KVHandle         string   `json:"kv_handle,omitempty"`
	// Artifact is what every stage is to run.
	Artifact
}

// Span is a run of layers, both inclusive, that one engine executed for one
// token, what they ran, and the time that it and its outgoing link took.
type Span struct {
	Endpoint string `json:"endpoint"`
	First    int    `json:"first"`
	Last     int    `json:"last"`
	Micros   int64  `json:"micros"`
	Artifact
}

// TokenTrace is the extension object on each token event. Position counts
// from zero over the whole answer, resumptions included.
type TokenTrace struct {
	Stream   string `json:"stream"`
	Epoch    uint32 `json:"epoch"`
	Position int    `json:"position"`
	Spans    []Span `json:"spans"`
	Load     *Load  `json:"load,omitempty"`
}

// Delta is the part of the answer that one event carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is the one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one server-sent event of an answer. Trace is set between engines
// and nodes only; Result is set on the last event towards callers.
type Chunk struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []Choice    `json:"choices"`
	Trace   *TokenTrace `json:"cicadatack,omitempty"`
}

// Load is what an engine says of its own state. AgeMillis is how old the
// figures are when sent.
type Load struct {
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	Slots      int     `json:"slots"`
	StepMicros int64   `json:"step_micros"`
	CacheUsed  float64 `json:"cache_used"`
	AgeMillis  int64   `json:"age_ms"`
	Draining   bool    `json:"draining"`
}

// Holding is what an engine reports to hold now. The router compares it with
// the plan before it sends work, because some engines ignore fencing numbers.
type Holding struct {
	Model            string `json:"model"`
	Weights          string `json:"weights,omitempty"`
	First            int    `json:"first"`
	Last             int    `json:"last"`
	PlacementVersion int64  `json:"placement_version"`
	Role             Role   `json:"role,omitempty"`
}

// WayRequest asks an engine, and through it all stages behind it, whether the
// way that a stream's activations take is open: the stage at Index answers for
// itself and asks the next one over the link that its activations cross.
type WayRequest struct {
	Chain []Stage `json:"chain"`
	Index int     `json:"index"`
}

// WayReply lists what the stages from Index on hold, in the chain's order.
type WayReply struct {
	Holdings []Report `json:"holdings"`
}

// Order tells an engine to hold layers of a version of a model, and in which role.
// An engine that checks fencing numbers answers 409 to a PlacementVersion below
// the last it took.
type Order struct {
	Model            string `json:"model"`
	Weights          string `json:"weights,omitempty"`
	First            int    `json:"first"`
	Last             int    `json:"last"`
	PlacementVersion int64  `json:"placement_version"`
	Role             Role   `json:"role,omitempty"`
}

// CancelRequest ends a stream on an engine and on the stages behind it.
// Cancelling a stream that the engine does not know succeeds. Epoch spares
// the epochs after it: a cancel that arrives late must not end the epoch that
// has taken the stream over on an engine that both chains share. Zero ends all.
type CancelRequest struct {
	Stream string `json:"stream"`
	Epoch  uint32 `json:"epoch,omitempty"`
}

// KVRequest asks to export or import the KV cache of a stream.
type KVRequest struct {
	Stream string `json:"stream"`
	Handle string `json:"handle,omitempty"`
}

// KVReply names an exported cache and its size.
type KVReply struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// CacheEvent says that a prompt prefix entered or left an engine's cache.
// Sequence has gaps when events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CachePage answers PathEvents: the events after a sequence number that the engine
// shows by now, in order.
type CachePage struct {
	// Instance names the run of the engine's process. After a restart it is
	// another one, and what was cached before is gone.
	Instance string `json:"instance"`
	// Last is the sequence number of the last event that the engine shows; below
	// the one asked after if it has none that high.
	Last   uint64       `json:"last"`
	Events []CacheEvent `json:"events"`
	// Load is what PathLoad would answer at the same moment. Nodes that have it
	// need not ask; nil from engines that leave it out.
	Load *Load `json:"load,omitempty"`
}
