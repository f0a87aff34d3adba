// Command standin2 runs one case of the second review: it starts the project's balancers
// and agents as separate processes on loopback addresses, with a store, hosts, a fabric
// and clients of its own that follow the users' pages, and checks one rule.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// CASE is a name in cases, FOLDER receives record.txt. The exit status is 1 if the rule
// was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a run; the pages of the review allow 120 s.
const caseTimeout = 118 * time.Second

// errNotRun says that the case couldn't run.
var errNotRun = errors.New("the case could not run")

// cases are the scenarios by name. Each returns how the rule was broken, "" if it held.
var cases = map[string]func(sy *system) (string, error){
	"mixed-pages":   mixedPages,
	"late-opening":  lateOpening,
	"hangup":        hangup,
	"killed-change": killedChange,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	// A started process gets the default action of a signal that is handled here, also if
	// this program was started with SIGHUP ignored.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	re, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer re.close()
	sy, err := newSystem(re, os.Getenv("TROUBLE") != "0")
	if err != nil {
		re.add("case not run: %v", err)
		return exitNotRun
	}
	defer sy.close()
	return judge(sy, re, cases[os.Args[1]])
}

// judge plays the case and returns the exit status.
func judge(sy *system, re *record, play func(sy *system) (string, error)) int {
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(sy)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		re.add("case not run: interrupted")
		return exitNotRun
	case <-time.After(caseTimeout):
		re.add("case not run: out of time")
		return exitNotRun
	case out := <-done:
		switch {
		case out.err != nil:
			re.add("case not run: %v", out.err)
			return exitNotRun
		case out.broken != "":
			re.add("RULE BROKEN: %s", out.broken)
			return exitBroken
		default:
			re.add("rule held")
			return exitHeld
		}
	}
}
