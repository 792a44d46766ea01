package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("bench")

// Config says what to run.
type Config struct {
	// Bin holds the binaries, Out takes the tables.
	Bin, Out string
	// Only names the sections to run; empty: all.
	Only []string
	// Print takes progress and tables as they come.
	Print io.Writer
}

// section is one group of measures.
type section struct {
	name string
	run  func(context.Context, *suite) error
}

var sections = []section{
	{"overload", overload},
	{"delay", delay},
	{"core", core},
	{"streams", streamMemory},
	{"stages", stageRecovery},
	{"nodes", nodeRecovery},
	{"store", storeRecovery},
	{"orders", orders},
	{"churn", churnRush},
	{"control", control},
	{"decisions", decisions},
}

// Names returns the names of the sections.
func Names() []string {
	names := make([]string, 0, len(sections))
	for _, s := range sections {
		names = append(names, s.name)
	}
	return names
}

// suite is one run of the bench.
type suite struct {
	cfg    Config
	dir    string
	tables []table
}

const (
	resultFile = "bench.md"
	fileMode   = 0o644
	dirMode    = 0o755
)

// Run measures the chosen sections. One that fails does not keep the others
// from running; the error names it, and so does the result.
func Run(ctx context.Context, cfg Config) error {
	dir, err := os.MkdirTemp("", "cicadatack-bench-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	s := &suite{cfg: cfg, dir: dir}
	var group errs.Group
	begun := time.Now()
	for _, each := range sections {
		if ctx.Err() != nil {
			group.Add(Error.Wrap(ctx.Err()))
			break
		}
		if len(cfg.Only) > 0 && !slices.Contains(cfg.Only, each.name) {
			continue
		}
		group.Add(s.section(ctx, each))
	}
	s.note(fmt.Sprintf("Took %s.", time.Since(begun).Round(time.Second)))
	group.Add(s.write(begun))
	return group.Err()
}

func (s *suite) section(ctx context.Context, each section) error {
	fmt.Fprintf(s.cfg.Print, "\n# %s\n", each.name)
	err := each.run(ctx, s)
	if err != nil {
		s.note(fmt.Sprintf("Section %s FAILED: %v", each.name, err))
		return Error.New("%s: %v", each.name, err)
	}
	return nil
}

func (s *suite) add(t table) {
	s.tables = append(s.tables, t)
	fmt.Fprintln(s.cfg.Print, t.String())
}

func (s *suite) note(text string) {
	s.add(table{note: text})
}

func (s *suite) write(begun time.Time) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Run of %s; %d cores, %s, load average %s.\n\n", begun.UTC().Format("2006-01-02 15:04 UTC"), runtime.NumCPU(), runtime.Version(), loadAverage())
	for _, t := range s.tables {
		text.WriteString(t.String() + "\n")
	}
	if err := os.MkdirAll(s.cfg.Out, dirMode); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(s.cfg.Out, resultFile), []byte(text.String()), fileMode))
}

// table is a group of figures as Markdown.
type table struct {
	title   string
	columns []string
	rows    [][]string
	note    string
}

func (t *table) row(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, cell(c))
	}
	t.rows = append(t.rows, row)
}

func cell(value any) string {
	switch v := value.(type) {
	case time.Duration:
		return duration(v)
	case float64:
		return number(v)
	default:
		return fmt.Sprint(v)
	}
}

func duration(d time.Duration) string {
	switch {
	case d == none:
		return "-"
	case d == 0:
		return "0"
	case d < time.Millisecond:
		return fmt.Sprintf("%.0f µs", float64(d)/float64(time.Microsecond))
	case d < time.Second:
		return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
	default:
		return fmt.Sprintf("%.2f s", d.Seconds())
	}
}

func number(v float64) string {
	switch {
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// String is the table as Markdown.
func (t table) String() string {
	var b strings.Builder
	if t.title != "" {
		fmt.Fprintf(&b, "## %s\n\n", t.title)
	}
	if len(t.columns) > 0 {
		fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.columns, " | "), strings.Repeat("---|", len(t.columns)))
	}
	for _, row := range t.rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	if t.note != "" {
		fmt.Fprintf(&b, "\n%s\n", t.note)
	}
	return b.String()
}
