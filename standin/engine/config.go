package engine

import "time"

// Defaults of Config for fields left at zero.
const (
	DefaultSlots       = 64
	DefaultSessionIdle = 10 * time.Second
	DefaultLoadLag     = 100 * time.Millisecond
	DefaultLoadEvery   = 8
	DefaultCacheBlocks = 4096
	DefaultKVTokenSize = 2048
)

// Config says what an engine holds and how fast it is. Times of zero take no
// time at all.
type Config struct {
	// Name is the endpoint's name in spans; the listening address if empty.
	Name string
	// Model, First, Last and Version are the holding at the start.
	Model       string
	First, Last int
	Version     int64
	// Weights is the version of the weights, empty if they have no name.
	Weights string
	// LayerLoad is the time to fetch one layer's weights, AdapterLoad an adapter.
	LayerLoad, AdapterLoad time.Duration
	// CheckFencing makes the engine refuse orders with an older placement
	// version, and requests for layers, weights or adapters that it does not
	// hold. An engine that does not check runs what it holds, whatever it was
	// asked for.
	CheckFencing bool
	// Slots is how many streams run at once, Queue how many more may wait.
	Slots, Queue int
	// Step is the time to run all held layers for one token of a batch of
	// one; each further stream of the batch adds Step*BatchCost.
	Step      time.Duration
	BatchCost float64
	// PrefillToken is the time to recompute one token of prompt or resumed
	// answer, ImportToken the time to import its KV cache, ImportFixed the
	// time that an import takes besides.
	PrefillToken, ImportToken, ImportFixed time.Duration
	// KVTokenBytes is the size of one token's KV cache, for reports.
	KVTokenBytes int64
	// LoadLag is how old a load report may be; LoadEvery is how many tokens
	// apart reports travel on the stream.
	LoadLag   time.Duration
	LoadEvery int
	// CacheBlocks bounds the prefix cache, in blocks of prefixBlock words.
	CacheBlocks int
	// EventLag delays cache events; each EventLoss-th is lost (0: none).
	EventLag  time.Duration
	EventLoss int
	// NoWay leaves out the call that asks along a chain, as engines do that do
	// not know it.
	NoWay bool
	// SessionIdle frees the slot of a stream that a stage has not heard of
	// for this long, when the slot is needed.
	SessionIdle time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, DefaultSlots)
	c.SessionIdle = orDefault(c.SessionIdle, DefaultSessionIdle)
	c.LoadLag = orDefault(c.LoadLag, DefaultLoadLag)
	c.LoadEvery = orDefault(c.LoadEvery, DefaultLoadEvery)
	c.CacheBlocks = orDefault(c.CacheBlocks, DefaultCacheBlocks)
	c.KVTokenBytes = orDefault(c.KVTokenBytes, DefaultKVTokenSize)
	return c
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
