package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cicadatack/cicadatack/node/losses"
)

type lossesCommand struct {
	Files []string `arg:"positional,required" help:"the nodes' logs, in any order; - for standard input"`
	JSON  bool     `arg:"--json" help:"write JSON"`
	SVG   string   `arg:"--svg" help:"also write a plot, losses a second by cause, to this file"`

	Requests string `arg:"--requests" help:"also list requests that were lost by this cause, with the lines that decided about them"`
	Limit    *int   `arg:"--limit" help:"the most requests to list [default: 10]"`
}

// defaultLimit is how many requests are listed unless told otherwise.
const defaultLimit = 10

func (c *lossesCommand) run(_ context.Context, _ *arguments, out io.Writer) error {
	reader := losses.NewReader()
	reader.Progress = func(file string, bytes int64) {
		fmt.Fprintf(os.Stderr, "%s: %d MB read\n", file, bytes>>20)
	}
	if err := c.keep(reader); err != nil {
		return err
	}
	for _, name := range c.Files {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	report := reader.Report()
	if c.SVG != "" {
		if err := writePlot(report, c.SVG); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(report))
	}
	return report.Text(out)
}

// keep tells the reader which requests to list.
func (c *lossesCommand) keep(reader *losses.Reader) error {
	limit := defaultLimit
	if c.Limit != nil {
		limit = *c.Limit
	}
	switch {
	case c.Requests == "" && c.Limit != nil:
		return Error.New("--limit needs --requests CAUSE")
	case c.Requests == "":
		return nil
	}
	cause, err := losses.CauseOf(c.Requests)
	if err != nil {
		return Error.Wrap(err)
	}
	return reader.Keep(cause, limit)
}

func readLog(reader *losses.Reader, name string) error {
	if name == "-" {
		return reader.Read("standard input", os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return Error.Wrap(err)
	}
	// It was only read.
	defer func() { _ = file.Close() }()
	return reader.Read(name, file)
}

func writePlot(report *losses.Report, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	buffered := bufio.NewWriter(file)
	if err := report.SVG(buffered); err != nil {
		_ = file.Close() // the error of the plot is told
		return err
	}
	if err := buffered.Flush(); err != nil {
		_ = file.Close() // likewise
		return Error.Wrap(err)
	}
	return Error.Wrap(file.Close())
}
