// Command standin plays one case of the review: it runs the project's balancers and
// agents as separate processes on loopback addresses, with stand-ins for the store,
// the routers, the hosts and the clients, and checks one rule.
//
// # Usage
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errNotRun says that a case couldn't run.
var errNotRun = errors.New("the case couldn't run")

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(fl *fleet, trouble bool) ([]string, error){
	"foreign-check-in": foreignCheckIn,
	"moved-store":      movedStore,
	"changed-route":    changedRoute,
	"lost-balancers":   lostBalancers,
	"reused-ports":     reusedPorts,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	rec := &record{out: out, started: time.Now()}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	fl, err := newFleet(rec, folder)
	if fl != nil {
		defer fl.close()
		go giveUp(fl, folder)
	}
	var breaks []string
	if err == nil {
		breaks, err = cases[os.Args[1]](fl, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	}
	for _, text := range breaks {
		rec.printf("BROKEN: %s", text)
	}
	fmt.Printf("breaks: %d\n", len(breaks))
	if len(breaks) > 0 {
		fmt.Println(breaks[0])
		return 1
	}
	return 0
}

// longestRun is the time after which a run is given up.
const longestRun = 118 * time.Second

// giveUp ends all processes of a run that is told to stop or takes too long.
func giveUp(fl *fleet, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	fl.close()
	os.RemoveAll(folder)
	os.Exit(2)
}
