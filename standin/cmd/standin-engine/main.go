// Command standin-engine serves a stand-in model engine until it is
// interrupted. Its first line of output is "listening 127.0.0.1:PORT".
//
//	standin-engine --model pastry --first 0 --last 3 --version 1 --step-us 2000
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cicadatack/cicadatack/standin/engine"
)

// args are the command line; times are in microseconds.
type args struct {
	Listen       string  `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Name         string  `arg:"--name" help:"endpoint's name in spans; the address if empty"`
	Model        string  `arg:"--model" default:"toy"`
	First        int     `arg:"--first" default:"0" help:"first layer held"`
	Last         int     `arg:"--last" default:"7" help:"last layer held"`
	Version      int64   `arg:"--version" default:"1" help:"placement version of the holding"`
	CheckFencing bool    `arg:"--check-fencing" help:"refuse orders with an old placement version"`
	Slots        int     `arg:"--slots" default:"64"`
	Queue        int     `arg:"--queue" default:"64"`
	StepUS       int64   `arg:"--step-us" default:"1000" help:"time of a step"`
	BatchCost    float64 `arg:"--batch-cost" default:"0.01" help:"part of a step that each further stream adds"`
	PrefillUS    int64   `arg:"--prefill-us" default:"50" help:"time to recompute one token"`
	ImportUS     int64   `arg:"--import-us" default:"5" help:"time to import one token's KV cache"`
	ImportBaseUS int64   `arg:"--import-base-us" default:"5000" help:"time that an import takes besides"`
	LoadLagMS    int64   `arg:"--load-lag-ms" default:"100"`
	EventLagMS   int64   `arg:"--event-lag-ms" default:"200"`
	EventLoss    int     `arg:"--event-loss" default:"20" help:"each so-manieth cache event is lost"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a args) error {
	srv, err := engine.Start(a.Listen, config(a))
	if err != nil {
		return err
	}
	defer srv.Close()
	fmt.Println("listening", srv.Address)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}

func config(a args) engine.Config {
	return engine.Config{
		Name: a.Name, Model: a.Model, First: a.First, Last: a.Last, Version: a.Version,
		CheckFencing: a.CheckFencing, Slots: a.Slots, Queue: a.Queue,
		Step:         time.Duration(a.StepUS) * time.Microsecond,
		BatchCost:    a.BatchCost,
		PrefillToken: time.Duration(a.PrefillUS) * time.Microsecond,
		ImportToken:  time.Duration(a.ImportUS) * time.Microsecond,
		ImportFixed:  time.Duration(a.ImportBaseUS) * time.Microsecond,
		LoadLag:      time.Duration(a.LoadLagMS) * time.Millisecond,
		EventLag:     time.Duration(a.EventLagMS) * time.Millisecond,
		EventLoss:    a.EventLoss,
	}
}
