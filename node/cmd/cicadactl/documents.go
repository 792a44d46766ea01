package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/promotion"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"the document"`
}

type trialCommand struct {
	File string `arg:"positional,required" help:"the document"`
}

type promoteCommand struct {
	Digest string `arg:"--digest,required" help:"digest of the tried document, as trial printed it"`
	Base   int64  `arg:"--base" default:"-1" help:"production revision that this replaces; default: the one in force when the document was put on trial"`
	ID     string `arg:"--id" help:"promotion id, to go on with a promotion whose outcome is not known; with its --base"`
}

type rollbackCommand struct {
	Revision int64  `arg:"positional,required" help:"the earlier revision"`
	Base     int64  `arg:"--base" default:"-1" help:"production revision that this replaces; default: the one in force now"`
	ID       string `arg:"--id" help:"promotion id, to go on with one whose outcome is not known; with its --base"`
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
		return explainTrial(err)
	}
	fmt.Fprintf(out, "on trial: revision %d, digest %s\n", record.Revision, record.Digest)
	fmt.Fprintf(out, "next: look at it on a trial node, then run\n  cicadactl promote --digest %s --base %d\n", record.Digest, record.Base)
	return nil
}

func (c *promoteCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	p, err := args.promoter()
	if err != nil {
		return err
	}
	a, err := newAttempt(c.Base, c.ID, func() (int64, error) { return triedBase(ctx, p, args.Environment) })
	if err != nil {
		return err
	}
	record, err := p.Promote(ctx, args.Environment, c.Digest, a.base, a.id, args.Operator)
	return a.report(out, record, notYet(err, nothingTried, args.Environment))
}

func (c *rollbackCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	p, err := args.promoter()
	if err != nil {
		return err
	}
	a, err := newAttempt(c.Base, c.ID, func() (int64, error) { return currentRevision(ctx, p, args.Environment) })
	if err != nil {
		return err
	}
	record, err := p.Rollforward(ctx, args.Environment, c.Revision, a.base, a.id, args.Operator)
	return a.report(out, record, notYet(err, "environment %q had no revision %d: cicadactl history lists those that it had", args.Environment, c.Revision))
}

// attempt is one promotion or rollback: the revision that it replaces and the
// id by which a second run finds out what became of the first.
type attempt struct {
	base int64
	id   string
}

// newAttempt takes the base and the id of the command line; find looks for a
// base if none was given.
//
// An id without a base is refused. The base of a second run must be that of the
// first: a run that looked for one anew would find the revision that the first
// run wrote, or one that somebody promoted on top of it, and replace that.
func newAttempt(base int64, id string, find func() (int64, error)) (attempt, error) {
	if base >= 0 && id != "" {
		return attempt{base, id}, nil
	}
	if id != "" {
		return attempt{}, Error.New("--id goes on with an earlier run and needs its --base too; that run printed both")
	}
	if base < 0 {
		var err error
		if base, err = find(); err != nil {
			return attempt{}, explainStore(err)
		}
	}
	return attempt{base, promotion.NewID()}, nil
}

// report tells the operator how the attempt ended.
func (a attempt) report(out io.Writer, record document.Index, err error) error {
	if err != nil {
		return a.explain(err)
	}
	fmt.Fprintf(out, "in force: revision %d, digest %s, promotion %s\n", record.Revision, record.Digest, record.PromotionID)
	return nil
}

// triedBase is the production revision at the time of the trial. A promotion
// that took the revision in force now would replace, without a word, what
// somebody else promoted since.
func triedBase(ctx context.Context, p *promotion.Promoter, environment string) (int64, error) {
	record, err := p.Tried(ctx, environment)
	return record.Base, notYet(err, nothingTried, environment)
}

func currentRevision(ctx context.Context, p *promotion.Promoter, environment string) (int64, error) {
	record, err := p.InForce(ctx, environment)
	if errors.Is(err, promotion.ErrNoRecord) {
		return 0, nil
	}
	return record.Revision, err
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
		return explainStore(notYet(err, nothingPromoted, args.Environment))
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
		return explainStore(err)
	}
	if len(records) == 0 {
		fmt.Fprintf(out, nothingPromoted+"\n", args.Environment)
	}
	for _, r := range records {
		fmt.Fprintf(out, "revision %d  %s  %s  base %d  digest %s  promotion %s\n",
			r.Revision, r.At.UTC().Format(time.RFC3339), r.Operator, r.Base, r.Digest, r.PromotionID)
	}
	return nil
}

// nothingTried is for a promotion without a trial before it.
const nothingTried = "nothing is on trial in environment %q: run cicadactl trial FILE first"

// nothingPromoted is for an environment without a document in production, which
// is also what a misspelt name looks like.
const nothingPromoted = "nothing has been promoted in environment %q yet: trial and promote come first"

// promoter reaches the store.
func (args *arguments) promoter() (*promotion.Promoter, error) {
	s, err := args.openStore()
	if err != nil {
		return nil, err
	}
	return promotion.New(s), nil
}
