package operators

import (
	"cmp"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/route/crashguard"
)

// PathIsolated lists the parts of prompts that are isolated; DELETE below it lifts one.
const PathIsolated = "/v1/isolated"

// PathOfPart is where a part's isolation is lifted.
func PathOfPart(service, part string) string {
	return PathIsolated + "/" + url.PathEscape(service) + "/" + url.PathEscape(part)
}

// IsolatedPart is a part of prompts on which replicas have crashed.
type IsolatedPart struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	// State is the verdict: isolated or suspect.
	State string `json:"state"`
	// Crashes is the number of crashes that count against the part. Replicas are those that
	// crashed and Versions the versions of their software, for isolated parts.
	Crashes  int      `json:"crashes"`
	Replicas []string `json:"replicas,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// Trials is the number of requests that were sent since to find out whether the part still
	// crashes replicas.
	Trials int `json:"trials,omitempty"`
	// Stored is set if the store holds the isolation, so that nodes which start know it.
	Stored bool `json:"stored,omitempty"`
}

// IsolatedParts is the answer to GET /v1/isolated.
type IsolatedParts struct {
	Parts []IsolatedPart `json:"parts"`
}

// MountIsolated adds the calls about isolated parts to a router.
func MountIsolated(r chi.Router, guard *crashguard.Guard) {
	r.Get(PathIsolated, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, IsolatedParts{listParts(guard.State())}) })
	r.Delete(PathIsolated+"/{service}/{part}", func(w http.ResponseWriter, r *http.Request) {
		service, errService := url.PathUnescape(chi.URLParam(r, "service"))
		part, errPart := url.PathUnescape(chi.URLParam(r, "part"))
		if err := errors.Join(errService, errPart); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err := guard.Lift(r.Context(), poison.Part{Service: service, ID: part})
		switch {
		case errors.Is(err, crashguard.ErrNotIsolated):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// CountIsolated counts the isolated parts by service.
func CountIsolated(guard *crashguard.Guard) map[string]int {
	counts := map[string]int{}
	for _, i := range guard.State().Isolated {
		counts[i.Part.Service]++
	}
	return counts
}

// listParts orders the parts by service, state and ID.
func listParts(s crashguard.State) []IsolatedPart {
	var list []IsolatedPart
	for _, i := range s.Isolated {
		p := IsolatedPart{
			Service: i.Part.Service, Part: i.Part.ID, State: poison.Isolated.String(), Crashes: len(i.Crashes),
			Versions: i.Versions, Trials: i.Trials, Stored: i.Revision > 0,
		}
		for _, c := range i.Crashes {
			p.Replicas = append(p.Replicas, c.Replica)
		}
		list = append(list, p)
	}
	for part, crashes := range s.Suspects {
		list = append(list, IsolatedPart{Service: part.Service, Part: part.ID, State: poison.Suspect.String(), Crashes: crashes})
	}
	slices.SortFunc(list, func(a, b IsolatedPart) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.State, b.State), strings.Compare(a.Part, b.Part))
	})
	return list
}
