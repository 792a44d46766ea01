package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/promotion"
	"github.com/cicadatack/cicadatack/platform/store"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"the document"`
}

type trialCommand struct {
	File string `arg:"positional,required" help:"the document"`
}

type promoteCommand struct {
	Digest string `arg:"--digest,required" help:"digest of the tried document, as trial printed it"`
	Base   int64  `arg:"--base" default:"-1" help:"production revision that this replaces; default: the one in force now"`
	ID     string `arg:"--id" help:"promotion id, to go on with a promotion whose outcome is not known"`
}

type rollbackCommand struct {
	Revision int64  `arg:"positional,required" help:"the earlier revision"`
	Base     int64  `arg:"--base" default:"-1" help:"production revision that this replaces; default: the one in force now"`
	ID       string `arg:"--id" help:"promotion id, to go on with one whose outcome is not known"`
}

type diffCommand struct {
	File string `arg:"positional,required" help:"the document"`
}

type historyCommand struct {
	Limit int `arg:"--limit" default:"20" help:"how many at most"`
}

func (c *checkCommand) run(_ context.Context, _ *arguments, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return Error.Wrap(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	fmt.Fprintf(out, "%s: valid; environment %s, %d services, %d endpoints, %d teams, digest %s\n",
		c.File, doc.Environment, len(doc.Services), len(doc.Endpoints), len(doc.Teams), document.Digest(text))
	return nil
}

func (c *trialCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return Error.Wrap(err)
	}
	p, err := args.promoter()
	if err != nil {
		return err
	}
	record, err := p.Trial(ctx, args.Environment, text, args.Operator)
	if err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprintf(out, "on trial: revision %d, digest %s\n", record.Revision, record.Digest)
	return nil
}

func (c *promoteCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	return args.promote(ctx, out, c.Base, c.ID, func(p *promotion.Promoter, base int64, id string) (document.Record, error) {
		return p.Promote(ctx, args.Environment, c.Digest, base, id, args.Operator)
	})
}

func (c *rollbackCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	return args.promote(ctx, out, c.Base, c.ID, func(p *promotion.Promoter, base int64, id string) (document.Record, error) {
		return p.Rollforward(ctx, args.Environment, c.Revision, base, id, args.Operator)
	})
}

// promote does what promotions and rollbacks have in common.
func (args *arguments) promote(ctx context.Context, out io.Writer, base int64, id string, put func(*promotion.Promoter, int64, string) (document.Record, error)) error {
	p, err := args.promoter()
	if err != nil {
		return err
	}
	if base < 0 {
		if base, err = currentRevision(ctx, p, args.Environment); err != nil {
			return err
		}
	}
	if id == "" {
		id = promotion.NewID()
	}
	record, err := put(p, base, id)
	if err != nil {
		return explainPromotion(err, id)
	}
	fmt.Fprintf(out, "in force: revision %d, digest %s, promotion %s\n", record.Revision, record.Digest, record.PromotionID)
	return nil
}

func currentRevision(ctx context.Context, p *promotion.Promoter, environment string) (int64, error) {
	record, err := p.Current(ctx, environment)
	if errors.Is(err, promotion.ErrNoRecord) {
		return 0, nil
	}
	return record.Revision, Error.Wrap(err)
}

// explainPromotion tells the operator what to do next.
func explainPromotion(err error, id string) error {
	var conflict *promotion.ConflictError
	switch {
	case errors.As(err, &conflict):
		return fmt.Errorf("%w\nnothing was changed; look at the difference, then promote with --base %d", err, conflict.Winner.Revision)
	case errors.Is(err, promotion.ErrUnknown):
		return fmt.Errorf("%w\nrun the same command again with --id %s: it finds out, and does not apply twice", err, id)
	}
	return Error.Wrap(err)
}

func (c *diffCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return Error.Wrap(err)
	}
	p, err := args.promoter()
	if err != nil {
		return err
	}
	record, err := p.Current(ctx, args.Environment)
	if err != nil {
		return Error.Wrap(err)
	}
	changes := document.Diff(record.Text, text)
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	fmt.Fprintf(out, "%d changes against revision %d\n", len(changes), record.Revision)
	return nil
}

func (c *historyCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	p, err := args.promoter()
	if err != nil {
		return err
	}
	records, err := p.History(ctx, args.Environment, c.Limit)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, r := range records {
		fmt.Fprintf(out, "revision %d  %s  %s  base %d  digest %s  promotion %s\n",
			r.Revision, r.At.UTC().Format(time.RFC3339), r.Operator, r.Base, r.Digest, r.PromotionID)
	}
	return nil
}

// promoter reaches the store.
func (args *arguments) promoter() (*promotion.Promoter, error) {
	if args.Store == "" || args.Environment == "" {
		return nil, Error.New("--store and --environment are needed")
	}
	s, err := store.New(store.Config{Address: args.Store})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return promotion.New(s), nil
}
