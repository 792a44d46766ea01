// Command standin-store serves the stand-in of the platform's key-value
// service. Its first line of output is "listening IP:PORT".
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/cicadatack/cicadatack/standin/storefake"
)

type options struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port to listen on; port 0 picks one"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	if err := serve(opts); err != nil {
		fmt.Fprintln(os.Stderr, "standin-store:", err)
		os.Exit(1)
	}
}

func serve(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", listener.Addr())
	fake := storefake.New()
	defer fake.Close()
	server := &http.Server{Handler: fake}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
