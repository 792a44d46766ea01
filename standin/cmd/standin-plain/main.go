// Command standin-plain runs the stand-in plain service. It is for tests and
// the demo only.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/cicadatack/cicadatack/standin/plain"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Name   string `arg:"--name" default:"plain" help:"the endpoint's name"`
	Slots  int    `arg:"--slots" default:"64" help:"calls served at once, as reported"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("listening", listener.Addr())
	if err := http.Serve(listener, plain.New(args.Name, args.Slots)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
