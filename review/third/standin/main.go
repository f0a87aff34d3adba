// Command standin plays the cases of the review: it starts the project's programs as
// separate processes, with stand-ins for the platform, the hosts and the clients in its
// own process.
//
// # Usage
//
//	standin CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves the disruption out. With KEEP=1 it keeps the processes' logs.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule is broken")

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// cases are the cases by name.
var cases = map[string]func(fl *fleet) error{
	"lone-balancer": loneBalancer,
	"late-reserve":  lateReserve,
	"brief-version": briefVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	re, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := play(re)
	if err := re.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

// play plays the case and returns the exit code.
func play(re *record) int {
	fl, err := newFleet(re, os.Getenv("TROUBLE") != "0")
	if err != nil {
		re.say("the case couldn't run: %v", err)
		return 2
	}
	defer fl.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](fl) }()
	select {
	case err = <-done:
	case <-stopped:
		err = errors.New("stopped by a signal")
	case <-time.After(timeLimit):
		err = fmt.Errorf("not done after %s", timeLimit)
	}
	switch {
	case errors.Is(err, errBroken):
		re.say("broken: %v", err)
		return 1
	case err != nil:
		re.say("the case couldn't run: %v", err)
		return 2
	}
	re.say("the rule held")
	return 0
}
