package main

import (
	"context"
	"fmt"
	"github.com/cicadatack/cicadatack/platform/kv"
	"io"
	"time"

	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
)

type pruneCommand struct {
	Keep      int           `arg:"--keep" default:"1000" help:"how many of the newest revisions are kept at least"`
	KeepYoung time.Duration `arg:"--keep-younger" default:"168h" help:"revisions younger than this are kept too"`
	DryRun    bool          `arg:"--dry-run" help:"say what would go, and remove nothing"`
}

func (c *pruneCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	if c.Keep < 1 || c.KeepYoung < 0 {
		return Error.New("--keep must be at least 1 and --keep-younger not below 0")
	}
	s, err := args.openStore()
	if err != nil {
		return err
	}
	rule := promotion.PruneRule{Newest: c.Keep, Younger: c.KeepYoung, DryRun: c.DryRun}
	done, err := promotion.New(s).Prune(ctx, s, args.Environment, rule)
	said := "removed"
	if c.DryRun {
		said = "would remove"
	}
	fmt.Fprintf(out, "%s %d revisions, %d parts and %d pins of commands that died; %d earlier revisions kept\n",
		said, done.Indexes, done.Parts, done.Pins, done.Kept)
	if err != nil {
		return fmt.Errorf("%w\nnothing that is kept was touched; run it again to go on", explainStore(err))
	}
	return nil
}

// openStore reaches the store.
func (args *arguments) openStore() (*store.Client, error) {
	if args.Store == "" || args.Environment == "" {
		return nil, Error.New("--store and --environment are needed, or CICADATACK_STORE and CICADATACK_ENVIRONMENT")
	}
	s, err := kv.Open(args.Store, store.Config{})
	return s, Error.Wrap(err)
}
