package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/node/logsink"
	"github.com/cicadatack/cicadatack/node/site"
	"github.com/cicadatack/cicadatack/platform/boot"
)

// runOnPlatform runs the node with the settings that the users' platform gives.
func runOnPlatform(args arguments) error {
	settings, err := boot.Read()
	if err != nil {
		return err
	}
	if args.Check {
		fmt.Printf("valid; node %s in %s\n", settings.Node, settings.Domain)
		return nil
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "cicadatack", Level: hclog.Info, Output: sink, JSONFormat: true,
	}).With("node", settings.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := site.New(settings, boot.Read, site.DefaultTiming, log)
	if err != nil {
		return err
	}
	node.MetricsPort = args.Metrics
	return node.Run(ctx, hangups())
}

// hangups tells of each SIGHUP: the settings may have changed.
func hangups() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	told := make(chan struct{})
	go func() {
		for range signals {
			told <- struct{}{}
		}
	}()
	return told
}
