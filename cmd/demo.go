package cmd

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/standin/demo"
)

// demoOptions are the options of the demo command.
type demoOptions struct {
	Duration time.Duration `long:"duration" description:"How long callers send requests" default:"10s"`
	Seed     uint64        `long:"seed" description:"Random seed of the callers, the backend servers and the plan's times" default:"1"`
	Plan     string        `long:"plan" description:"Faults and operations to run meanwhile" default:"calm"`
	Report   string        `long:"report" description:"File to write the report to as JSON"`
}

func demoCommand() *command {
	op := &demoOptions{}
	return &command{
		name:  "demo",
		short: "Run the whole system in one process",
		long: "Run three balancers, ten agents with their backend servers, and the platform's stand-ins in one process over loopback, " +
			"send callers' requests through them and report what was measured. Exits with 1 if a guarantee was violated. Plans: " +
			strings.Join(demo.PlanNames(), ", ") + ".",
		options: op,
		action:  func(ru *run, _ []string) error { return runDemo(ru, op) },
	}
}

func runDemo(ru *run, op *demoOptions) error {
	re, err := demo.Run(ru, demo.Options{Duration: op.Duration, Seed: op.Seed, Plan: op.Plan}, ru.out)
	if err != nil {
		return err
	}
	re.Print(ru.out)
	if op.Report != "" {
		if err := re.Write(op.Report); err != nil {
			return err
		}
	}
	if broken := re.BrokenPromises(); len(broken) > 0 {
		return errors.Errorf("run plan %s: broken promises %v", op.Plan, broken)
	}
	return nil
}
