package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/state/document"
)

const examples = "../../examples"

// The examples are what a newcomer starts from: they must pass the checks of
// the programs, and fit together.
func TestExamples(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "java.json"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(examples, "*-[0-9].json"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no settings found: %v", err)
	}
	for _, path := range paths {
		checkExample(t, path, doc)
	}
}

func checkExample(t *testing.T, path string, doc *document.Document) {
	s, err := Read(path)
	if err != nil {
		t.Error(err)
		return
	}
	if s.Name != strings.TrimSuffix(filepath.Base(path), ".json") {
		t.Errorf("%s is of node %q", path, s.Name)
	}
	if s.Environment != doc.Environment {
		t.Errorf("%s: environment %q, the document is for %q", path, s.Environment, doc.Environment)
	}
	here := func(d document.FailureDomain) bool { return d.Name == s.FailureDomain }
	if !slices.ContainsFunc(doc.FailureDomains, here) {
		t.Errorf("%s: the document has no failure domain %q", path, s.FailureDomain)
	}
}
