package modelservice

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// replicas are chains of one engine by name, with the version that the plan says;
// the engine reports the version that its address names.
type replicas struct {
	planned   map[string]string
	suspected []string
}

func (r *replicas) Chain(_ *callparser.Call, replica string) (stream.Chain, error) {
	return stream.Chain{
		Replica:  replica,
		Stages:   []engineapi.Stage{{Endpoint: replica, Address: replica}},
		Artifact: engineapi.Artifact{Weights: r.planned[replica]},
	}, nil
}

func (r *replicas) RoundTrip(req *http.Request) (*http.Response, error) {
	version, _, _ := strings.Cut(req.URL.Host, "-")
	data, err := json.Marshal(engineapi.Holding{Model: "pastry-llm", Weights: version})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data)))}, err
}

func (r *replicas) ReportPlanMismatch(_, replica string) { r.suspected = append(r.suspected, replica) }
func (r *replicas) Observe(string, string, []stream.Hop) {}

// The caller's answer goes on where it can. Passing over a replica costs nothing;
// trying it uses up one of a few tries, takes from the budget of retries and counts
// against a replica that is well.
func TestReplicasPassedOver(t *testing.T) {
	cases := []struct {
		name, replica, planned, begun string
		want                          error
		suspected                     bool
	}{
		{"nothing begun", "v2-a", "v2", "", nil, false},
		{"the version of the answer", "v1-a", "v1", "v1", nil, false},
		{"another version", "v2-a", "v2", "v1", errOtherArtifact, false},
		{"engines that differ from the plan", "v1-a", "v2", "v2", errDiffers, true},
	}
	for _, c := range cases {
		r := &replicas{planned: map[string]string{c.replica: c.planned}}
		service := &document.Service{Name: "pastry-llm", Model: &document.Model{Layers: 1}}
		chooser := &chooser{answer: &answer{
			Visit:  &lifecycle.Visit{Call: &callparser.Call{Service: service}},
			server: &Server{Chains: r, Plans: r, Streams: stream.New(engineclient.New(r), nil, stream.Options{})},
			chat:   engineapi.ChatRequest{Model: "pastry-llm"},
		}}
		if c.begun != "" {
			chooser.runs = []run{{artifact: engineapi.Artifact{Weights: "v0"}}, {started: true, artifact: engineapi.Artifact{Weights: c.begun}}}
		}
		if _, err := chooser.resolve(context.Background(), c.replica); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if got := len(r.suspected) == 1; got != c.suspected {
			t.Errorf("%s: suspected %v", c.name, r.suspected)
		}
	}
}
