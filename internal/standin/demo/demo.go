// Package demo runs a whole load-balancing fleet in one process over loopback
// sockets, sends it requests while a plan changes or breaks parts of it, and
// compares the callers' records with those of the backend servers afterwards.
//
// # Usage
//
//	re, err := demo.Run(ctx, demo.Options{Duration: 10 * time.Second, Seed: 7, Plan: "calm"}, os.Stdout)
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"corneltiller.dev/corneltiller/internal/transport/keys"
)

const (
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
	// warmUpTime is how long the backend servers warm up before callers send
	// requests.
	warmUpTime      = 3 * time.Second
	yardlineFlows   = 120
	ledgerwashFlows = 40
	slotsPerServer  = 2
	inForceLimit    = 19 * time.Second
	nodeCount       = balancerCount + yardlineHosts + ledgerwashHosts
)

// Options are the options of a demo.
type Options struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	// Seed seeds the callers, the backend servers, the fabric and the plan's random
	// choices.
	Seed uint64
	// Plan is one of PlanNames.
	Plan string
}

// Run runs a demo and returns its report. Progress is written to out as text. It
// returns an error if the plan is unknown, the fleet does not start or a step of
// the plan fails; broken promises are no error, see Report.BrokenPromises.
func Run(ctx context.Context, op Options, out io.Writer) (*Report, error) {
	pl, err := findPlan(op.Plan)
	if err != nil {
		return nil, err
	}
	material, cleanup, err := generateTemporaryKeys()
	if err != nil {
		return nil, err
	}
	defer cleanup()

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	fl, err := startFleet(running, group, material, op.Seed)
	if err != nil {
		return nil, err
	}
	defer fl.pool.Close()
	if err := fl.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := fl.configure(ctx); err != nil {
		return nil, err
	}
	go fl.countReversions(running)
	select {
	case <-ctx.Done():
	case <-time.After(warmUpTime):
	}
	re, err := serve(ctx, fl, pl, op, out)
	stop()
	if failure := group.Wait(); err == nil {
		err = failure
	}
	return re, err
}

func generateTemporaryKeys() (*keys.Store, func(), error) {
	folder, err := os.MkdirTemp("", "corneltiller-demo")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create key folder")
	}
	cleanup := func() { _ = os.RemoveAll(folder) }
	paths, err := keys.Generate(folder, time.Now())
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	material, err := keys.Open(paths)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	return material, cleanup, nil
}

// awaitReady waits at most startTimeout until every balancer knows every host.
func (fl *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !fl.everyHostKnown() {
		select {
		case <-ctx.Done():
			return errors.New("wait for the fleet: not every balancer knows every host")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (fl *fleet) everyHostKnown() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ba := range fl.balancers {
		if ba.balancer.HostCount() < len(fl.hosts) {
			return false
		}
	}
	return true
}

// serve runs the callers and the plan, stops the fleet gracefully, and compares the
// records.
func serve(ctx context.Context, fl *fleet, pl plan, op Options, out io.Writer) (*Report, error) {
	re := &Report{Plan: pl.name, Seed: op.Seed}
	cr := &callerRecords{}
	tr := &traffic{authority: fl.material.Authority(), records: cr, seed: op.Seed}
	start := time.Now()
	sentBefore := fl.controlBytes()
	driving, stop := context.WithTimeout(ctx, op.Duration)
	defer stop()

	var eg errgroup.Group
	eg.Go(func() error { return tr.drive(driving, pl.streams(fl)) })
	eg.Go(func() error {
		return pl.execute(ctx, fl, start, op.Duration, op.Seed, func(name string) {
			fmt.Fprintf(out, "%5.1f s: %s\n", time.Since(start).Seconds(), name)
		})
	})
	eg.Go(func() error {
		showProgress(driving, cr, start, out)
		return nil
	})
	if err := eg.Wait(); err != nil {
		return nil, err
	}
	re.StoreCalls = fl.platform.Calls().Total()
	elapsed := time.Since(start).Seconds()
	re.ControlBytesPerNodeSecond = float64(fl.controlBytes()-sentBefore) / nodeCount / elapsed
	fl.checkChanges(re)
	fl.logDatagrams()
	fl.shutdown()
	compare(re, cr, fl.serverRecords())
	return re, nil
}

// streams returns the traffic of the callers of both services at the plan's load.
func (pl plan) streams(fl *fleet) []stream {
	perHost := slotsPerServer / meanWork.Seconds()
	return []stream{
		{service: fl.services[0], flows: yardlineFlows, rate: pl.load * perHost * yardlineHosts},
		{service: fl.services[1], flows: ledgerwashFlows, rate: pl.load * perHost * ledgerwashHosts, deferrable: true},
	}
}

func showProgress(ctx context.Context, cr *callerRecords, start time.Time, out io.Writer) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(out, "%5.1f s: %d requests\n", time.Since(start).Seconds(), cr.requestCount())
		}
	}
}
