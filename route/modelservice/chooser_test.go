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

// fakeReplicas has chains of one engine each. plannedVersions gives the planned version
// of the weights by replica. An engine reports the version at the start of its address.
type fakeReplicas struct {
	plannedVersions   map[string]string
	suspectedReplicas []string
}

func (r *fakeReplicas) Chain(_ *callparser.Call, replica string) (stream.Chain, error) {
	return stream.Chain{
		Replica:  replica,
		Stages:   []engineapi.Stage{{Endpoint: replica, Address: replica}},
		Artifact: engineapi.Artifact{Weights: r.plannedVersions[replica]},
	}, nil
}

func (r *fakeReplicas) RoundTrip(req *http.Request) (*http.Response, error) {
	version, _, _ := strings.Cut(req.URL.Host, "-")
	data, err := json.Marshal(engineapi.Holding{Model: "pastry-llm", Weights: version})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data)))}, err
}

func (r *fakeReplicas) ReportPlanMismatch(_, replica string) {
	r.suspectedReplicas = append(r.suspectedReplicas, replica)
}
func (r *fakeReplicas) Observe(string, string, []stream.Hop) {}

// If a replica that can't continue the answer were tried, the attempt would use up part
// of the retry budget and count against a healthy replica. Such a replica is skipped.
func TestUnusableChainsAreSkipped(t *testing.T) {
	cases := []struct {
		name, replica, planned, answerVersion string
		want                                  error
		suspected                             bool
	}{
		{"no token sent yet", "v2-a", "v2", "", nil, false},
		{"the version of the answer", "v1-a", "v1", "v1", nil, false},
		{"another version", "v2-a", "v2", "v1", errWrongArtifact, false},
		{"engines that differ from the plan", "v1-a", "v2", "v2", errMismatchesPlan, true},
	}
	for _, c := range cases {
		r := &fakeReplicas{plannedVersions: map[string]string{c.replica: c.planned}}
		service := &document.Service{Name: "pastry-llm", Model: &document.Model{Layers: 1}}
		chooser := &chainChooser{call: &modelCall{
			ActiveCall: &lifecycle.ActiveCall{Call: &callparser.Call{Service: service}},
			server:     &Server{Chains: r, PlanObserver: r, Streams: stream.New(engineclient.New(r), nil, stream.Options{})},
			chat:       engineapi.ChatRequest{Model: "pastry-llm"},
		}}
		if c.answerVersion != "" {
			chooser.epochs = []epochState{{artifact: engineapi.Artifact{Weights: "v0"}}, {gotFirstToken: true, artifact: engineapi.Artifact{Weights: c.answerVersion}}}
		}
		if _, err := chooser.resolveChain(context.Background(), c.replica); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if got := len(r.suspectedReplicas) == 1; got != c.suspected {
			t.Errorf("%s: suspected %v", c.name, r.suspectedReplicas)
		}
	}
}
