package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cicadatack/cicadatack/state/document"
)

// Names of the small site that the demo and the process tests run.
const (
	Environment = "java"
	Region      = "java-west"
	Model       = "pastry-llm"
	Plain       = "stock-ledger"
	Team        = "menteng"
	TeamKey     = "menteng-demo-key"
	Layers      = 8
)

// domains of the site, in the order in which nodes and replicas take them.
var domains = []string{"bandung", "bekasi", "bogor"}

// Endpoint is a stand-in's name and address.
type Endpoint struct {
	Name    string
	Address string
}

// Layout is what a site's document names.
type Layout struct {
	Chains            [][2]Endpoint
	Plains            []Endpoint
	EntryValidSeconds int
	// Adjust, if set, changes the document before it is written.
	Adjust func(*document.Document)
}

// Document returns the text, indented; weight is the team's.
func (l Layout) Document(weight float64) ([]byte, error) {
	digest := sha256.Sum256([]byte(TeamKey))
	doc := &document.Document{
		Format:      document.Format,
		Environment: Environment,
		Teams:       []document.Team{{Name: Team, Weight: weight, KeySHA256: []string{hex.EncodeToString(digest[:])}}},
		Policy:      document.Policy{EntryValidSeconds: l.EntryValidSeconds},
	}
	for _, name := range domains {
		doc.FailureDomains = append(doc.FailureDomains, document.FailureDomain{Name: name, Region: Region})
	}
	doc.Services = []document.Service{l.model(doc), l.plain(doc)}
	if l.Adjust != nil {
		l.Adjust(doc)
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	return text, Error.Wrap(err)
}

func (l Layout) model(doc *document.Document) document.Service {
	model := &document.Model{Layers: Layers}
	for i, pair := range l.Chains {
		replica := document.Replica{Name: fmt.Sprintf("replica-%d", i+1)}
		for stage, e := range pair {
			first, last := StageLayers(stage)
			doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: e.Name, Address: e.Address, FailureDomain: domains[i%len(domains)], Accelerator: "a"})
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: e.Name, Layers: []int{first, last}})
		}
		model.Replicas = append(model.Replicas, replica)
	}
	return document.Service{Name: Model, Kind: document.KindModel, Model: model}
}

func (l Layout) plain(doc *document.Document) document.Service {
	plain := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for i, e := range l.Plains {
		doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: e.Name, Address: e.Address, FailureDomain: domains[i%len(domains)]})
		plain.Endpoints = append(plain.Endpoints, e.Name)
	}
	return document.Service{Name: Plain, Kind: document.KindPlain, Plain: plain}
}

// StageLayers are the layers, both inclusive, that a stage of a chain of two
// holds.
func StageLayers(stage int) (first, last int) {
	first = stage * Layers / 2
	return first, first + Layers/2 - 1
}

// EngineName names the engine of a replica's stage.
func EngineName(replica, stage int) string {
	return fmt.Sprintf("engine-%d-%c", replica+1, 'a'+stage)
}

// PlainName names an instance of the plain service.
func PlainName(i int) string {
	return fmt.Sprintf("ledger-%d", i+1)
}
