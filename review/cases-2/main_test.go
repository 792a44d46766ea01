// Package cases holds the clients and stand-ins of the review's scripts. It is built as a test
// binary, since it writes the platform's names. Each script runs one case of it, by the name in the
// environment variable CASE.
package cases

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// maxRun is the time after which a case is given up. A script may take 120 seconds.
const maxRun = 112 * time.Second

// cases are the cases by name. They return whether the rule was broken.
var cases = map[string]func(*scene) bool{}

func TestMain(*testing.M) {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(exitNoRun)
	}
	os.Exit(play(run))
}

// play runs a case and returns the exit code.
func play(run func(*scene) bool) (code int) {
	s, err := newScene()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer s.close()
	defer func() {
		if failed := recover(); failed != nil {
			s.say("the case could not run: %v", failed)
			code = exitNoRun
		}
	}()
	over := time.AfterFunc(maxRun, func() {
		s.say("the case takes too long")
		s.close()
		os.Exit(exitNoRun)
	})
	defer over.Stop()
	if run(s) {
		s.say("the rule was broken")
		return exitBroken
	}
	s.say("the rule held")
	return exitHeld
}
