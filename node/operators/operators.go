// Package operators is what operators ask of a node, behind whichever doors it serves:
// its state, and why it decided what it did about a request.
package operators

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/route/decisionlog"
)

// Paths of the calls.
const (
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain/"
)

// Status is a node's answer to GET /v1/status.
type Status struct {
	Name string `json:"name"`
	// Environment, Slot and Digest are of the document in force; "" on the users'
	// platform, whose operator writes one configuration.
	Environment   string `json:"environment,omitempty"`
	Slot          string `json:"slot,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	Reason        string `json:"reason,omitempty"`
	Draining      bool   `json:"draining"`
	// Revision is the version of the document or configuration in force.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// ProofMillis is the age of the proof that the configuration is the newest; left
	// out where none is needed.
	ProofMillis int64 `json:"proof_age_ms,omitempty"`
	Underway    int64 `json:"underway"`
	Watching    bool  `json:"watching"`
	// Near is how many nodes of the failure domain the document is spread among.
	Near    int      `json:"near,omitempty"`
	Members []Member `json:"members"`
	// Slots are those that this node may use of each service; Replicas how many of each
	// service it knows in each state, where it does not reckon in slots.
	Slots    map[string]int            `json:"usable_slots,omitempty"`
	Replicas map[string]map[string]int `json:"replicas,omitempty"`
	// RateLimits are the limits that replicas state in their answers and that are in force,
	// by service and replica, in requests per second of all nodes together.
	RateLimits map[string]map[string]float64 `json:"rate_limits,omitempty"`
	// Pushbacks are the replicas that want no requests from this node, by service and replica,
	// with the time for which they want none from now on.
	Pushbacks map[string]map[string]int64 `json:"pushbacks_ms,omitempty"`
	// CutOff are the services of which this node reaches no replica, with the time for which it
	// has reached none.
	CutOff map[string]int64 `json:"cut_off_ms,omitempty"`
	// IsolatedParts is the number of parts of prompts that are sent to no replica, by service.
	IsolatedParts map[string]int `json:"isolated_parts,omitempty"`
	// LoadControl is the state of each service under load control.
	LoadControl map[string]LoadControl `json:"load_control,omitempty"`
	// StoreCalls are this node's calls to the store since its start, by kind and result,
	// on the users' platform.
	StoreCalls map[string]int64 `json:"store_calls,omitempty"`
}

// Member is one entry VM as the node sees it.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation,omitempty"`
}

// LoadControl is the load of a service as the node knows it.
type LoadControl struct {
	// Saturated is set while the node sheds requests.
	Saturated bool `json:"saturated"`
	// WaitMillis is the expected time to the first event of a new request.
	WaitMillis int64 `json:"wait_ms"`
	// FirstEventsPerSecond is what the replicas serve now. AdmittedPerSecond is what all nodes
	// together admit; 0 while the service is not saturated.
	FirstEventsPerSecond float64 `json:"first_events_per_second"`
	AdmittedPerSecond    float64 `json:"admitted_per_second"`
	// Nodes is the number of nodes whose figures are included, this one among them.
	Nodes int `json:"nodes"`
}

// Explanation is a node's answer to GET /v1/explain/{request}.
type Explanation struct {
	Decisions []decisionlog.Decision `json:"decisions"`
}

// Mount adds the calls to a router. status tells the node's state now.
func Mount(r chi.Router, status func() Status, decisions *decisionlog.Log) {
	r.Get(PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status()) })
	r.Get(PathExplain+"{request}", func(w http.ResponseWriter, r *http.Request) {
		found := decisions.Explain(chi.URLParam(r, "request"))
		if found == nil {
			http.Error(w, "this node remembers no decision about that request", http.StatusNotFound)
			return
		}
		writeJSON(w, Explanation{found})
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The operator may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
