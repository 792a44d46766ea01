package engineapi

// PathAdapters tells an engine which adapters to hold beside its layers.
const PathAdapters = "/v1/adapters"

// Role is what an engine takes new streams for.
type Role string

const (
	// RoleBoth engines work on prompts and on answers; it is what every stage of a
	// chain must be.
	RoleBoth Role = ""
	// RolePrefill and RoleDecode engines do one half only. The router sends them
	// nothing: it does not move streams between the halves.
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	// RoleDrain engines finish what they run and take nothing new.
	RoleDrain Role = "drain"
)

// Artifact is what a stream's layers run: the version of the weights and, by name
// and version, the adapter. Two streams of one prompt give the same answer only if
// their artifacts are equal. Empty fields are a model without named versions and a
// stream without an adapter.
type Artifact struct {
	Weights string `json:"weights,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Adapter is one version of a small addition to a model's weights.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// String is the adapter as an Artifact names it.
func (a Adapter) String() string { return a.Name + "@" + a.Version }

// Report is an engine's answer to PathHolding: its layers, and what else the
// router has to know before it sends work or orders.
type Report struct {
	Holding
	// Adapters are those that can be used now. AdapterVersion is the fencing
	// number of the last order for them that the engine took.
	Adapters       []Adapter `json:"adapters,omitempty"`
	AdapterVersion int64     `json:"adapter_version,omitempty"`
	// Running is how many streams the engine works on.
	Running int `json:"running,omitempty"`
	// Uses counts the streams that each adapter was opened for, by Adapter.String,
	// since the engine started.
	Uses map[string]uint64 `json:"uses,omitempty"`
	// Cache names the present contents of the prefix cache: another one means that
	// what was cached is gone. It is CachePage.Instance.
	Cache string `json:"cache,omitempty"`
}

// Runs reports whether a stream with the artifact can run on the engine, layers
// and placement version aside.
func (r Report) Runs(a Artifact) bool {
	if r.Weights != a.Weights || r.Role != RoleBoth {
		return false
	}
	if a.Adapter == "" {
		return true
	}
	for _, held := range r.Adapters {
		if held.String() == a.Adapter {
			return true
		}
	}
	return false
}

// AdapterOrder tells an engine to hold these adapters and no others, beside the
// layers that it serves meanwhile. An engine that checks fencing numbers answers
// 409 to a Version below the last it took.
type AdapterOrder struct {
	Model    string    `json:"model"`
	Adapters []Adapter `json:"adapters"`
	Version  int64     `json:"version"`
}
