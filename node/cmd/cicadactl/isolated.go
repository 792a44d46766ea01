package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/node/operators"
)

type isolatedCommand struct {
	Node string `arg:"--node,required" help:"operators' address of the node"`
}

type liftCommand struct {
	Node    string `arg:"--node,required" help:"operators' address of any node"`
	Service string `arg:"positional,required" help:"service, as isolated prints it"`
	Part    string `arg:"positional,required" help:"part, as isolated prints it"`
}

func (c *isolatedCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	var reply operators.IsolatedParts
	if err := args.get(ctx, c.Node+operators.PathIsolated, asOperator(args), &reply); err != nil {
		return err
	}
	if len(reply.Parts) == 0 {
		fmt.Fprintln(out, "no part is isolated or suspect")
	}
	for _, p := range reply.Parts {
		printPart(out, p)
	}
	return nil
}

func printPart(out io.Writer, p operators.IsolatedPart) {
	fmt.Fprintf(out, "%s %s  %s  crashes %d", p.Service, p.Part, p.State, p.Crashes)
	if len(p.Replicas) > 0 {
		fmt.Fprintf(out, "  replicas %s", strings.Join(p.Replicas, ","))
	}
	if len(p.Versions) > 0 {
		fmt.Fprintf(out, "  versions %s", strings.Join(p.Versions, ","))
	}
	if p.State == "isolated" {
		fmt.Fprintf(out, "  trials %d  stored %t", p.Trials, p.Stored)
	}
	fmt.Fprintln(out)
}

func (c *liftCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	if _, err := args.call(ctx, http.MethodDelete, c.Node+operators.PathOfPart(c.Service, c.Part), asOperator(args), http.StatusNoContent); err != nil {
		return err
	}
	fmt.Fprintln(out, "lifted; all nodes follow once they have read the store")
	return nil
}
