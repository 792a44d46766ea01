// Command bench runs the measures of package bench and writes their tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/cicadatack/cicadatack/e2e/bench"
)

// wholeTimeout ends a run that hangs.
const wholeTimeout = 20 * time.Minute

type arguments struct {
	Bin  string   `arg:"--bin" default:"bin" help:"folder with the binaries"`
	Out  string   `arg:"--out" default:"bench-out" help:"folder for the tables"`
	Only []string `arg:"positional" help:"sections to run; all if none is named"`
}

func (arguments) Description() string {
	return "Measures nodes on loopback. Sections: " + strings.Join(bench.Names(), ", ")
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run ends the nodes also when it is interrupted: they would run on without it.
func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	return bench.Run(ctx, bench.Config{Bin: args.Bin, Out: args.Out, Only: args.Only, Print: os.Stdout})
}
