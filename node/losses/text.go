package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Text writes the report as tables.
func (r *Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d lines of %d files (%d can't be read), %s to %s\n", r.Lines, r.Files, r.Unreadable,
		r.From.UTC().Format("2006-01-02 15:04:05"), r.To.UTC().Format("15:04:05"))
	fmt.Fprintf(w, "lost: %d late, %d refused, %d failed; besides, %d left by their callers, %d denied by the configuration\n",
		r.Total.Late, r.Total.Refused, r.Total.Failed, r.Total.Left, r.Denied)
	writeRows(w, "cause", r.Causes)
	writeRows(w, "service", r.Service)
	writeRows(w, "failure domain", r.Domains)
	writeSeconds(w, r.Seconds)
	writeExamples(w, r.Examples)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "\n%v", f)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintln(w)
	}
	return Error.Wrap(w.Flush())
}

func writeRows(w io.Writer, name string, rows []Row) {
	fmt.Fprintf(w, "\n%s\tlate\trefused\tfailed\tshare\tseconds lost\tleft\n", name)
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%.1f\t%d\n", orNone(row.Name), row.Late, row.Refused, row.Failed, row.Share, row.LostSeconds, row.Left)
	}
}

func orNone(name string) string {
	if name == "" {
		return "(not known)"
	}
	return name
}

// writeSeconds writes a line for each second with losses: how many, and by what most.
func writeSeconds(w io.Writer, seconds []Second) {
	fmt.Fprint(w, "\nsecond\tlost\tmost by\n")
	for _, s := range seconds {
		lost, most := 0, Cause("")
		for _, c := range slices.Sorted(maps.Keys(s.Causes)) {
			lost += s.Causes[c]
			if s.Causes[c] > s.Causes[most] {
				most = c
			}
		}
		fmt.Fprintf(w, "%d\t%d\t%s (%d)\n", s.At, lost, most, s.Causes[most])
	}
}

// writeExamples writes each request with the lines that decided about it.
func writeExamples(w io.Writer, list []Example) {
	for _, x := range list {
		fmt.Fprintf(w, "\nsecond %d  request %s  %s  %s  service %s  lost %.0f ms\n", x.Second, x.Request, x.Node, x.Outcome, orNone(x.Service), x.LostMillis)
		for _, line := range x.Lines {
			fmt.Fprintf(w, "  %s\n", line)
		}
	}
}
