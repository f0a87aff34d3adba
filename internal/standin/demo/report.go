package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// Outcomes counts what callers were told.
type Outcomes struct {
	Answered int
	NotRun   int
	Unknown  int
}

// Report is what a demo measured. All counts come from the books of the
// callers and of the backend servers.
type Report struct {
	Plan string
	Seed uint64
	// Flows is the number of flows opened.
	Flows int
	// Requests is the number of requests sent.
	Requests int
	// BrokenFlows is the number of flows that ended without a goodbye.
	BrokenFlows int
	// CrashedHostFlows is how many of BrokenFlows were those of a crashed host.
	CrashedHostFlows int
	// MisroutedPackets is the number of requests that reached another service.
	MisroutedPackets int
	// LostBookings is the number of bookings that were answered and never run.
	LostBookings int
	// DoubledBookings is the number of bookings that ran more than once.
	DoubledBookings int
	// NotRunButRan is the number of requests refused as not run that ran.
	NotRunButRan int
	// WrongAnswers is the number of answers that weren't whole or belonged to another request.
	WrongAnswers int
	// CutByStop is the number of requests in progress that a planned stop cut.
	CutByStop int
	// NewWorkAfterDrain is the number of runs that a leaving server began too late.
	NewWorkAfterDrain int
	// RevertedConfigurations is the number of times that an instance went back to a lower version.
	RevertedConfigurations int
	// RefusedButInForce is the number of refused changes that took effect.
	RefusedButInForce int
	// ConfigurationInForceMilliseconds is the longest time from an accepted change to its being in force everywhere.
	ConfigurationInForceMilliseconds int64
	// Imbalance is the largest work of a backend server over the mean of its service.
	Imbalance             float64
	UrgentP50Milliseconds float64
	UrgentP99Milliseconds float64
	// DeferrableP99Milliseconds is that of the traffic that may wait.
	DeferrableP99Milliseconds float64
	Outcomes                  Outcomes
	// StoreCalls is the number of calls that the platform's store took.
	StoreCalls uint64
	// ControlBytesPerNodeSecond is the control traffic sent by an instance, in bytes a second.
	ControlBytesPerNodeSecond float64
}

// promise is one count that must be zero.
type promise struct {
	name  string
	count int
}

// BrokenPromises returns the names and counts of the promises that were broken.
func (re *Report) BrokenPromises() []string {
	promises := []promise{
		{"BrokenFlows", re.BrokenFlows - re.CrashedHostFlows},
		{"MisroutedPackets", re.MisroutedPackets},
		{"LostBookings", re.LostBookings},
		{"DoubledBookings", re.DoubledBookings},
		{"NotRunButRan", re.NotRunButRan},
		{"WrongAnswers", re.WrongAnswers},
		{"CutByStop", re.CutByStop},
		{"NewWorkAfterDrain", re.NewWorkAfterDrain},
		{"RevertedConfigurations", re.RevertedConfigurations},
		{"RefusedButInForce", re.RefusedButInForce},
	}
	var broken []string
	for _, pr := range promises {
		if pr.count != 0 {
			broken = append(broken, fmt.Sprintf("%s=%d", pr.name, pr.count))
		}
	}
	return broken
}

// Print writes a short summary for a person.
func (re *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "Plan %s, seed %d: %d requests over %d flows\n", re.Plan, re.Seed, re.Requests, re.Flows)
	fmt.Fprintf(out, "  Outcomes: %d answered, %d not run, %d unknown\n", re.Outcomes.Answered, re.Outcomes.NotRun, re.Outcomes.Unknown)
	fmt.Fprintf(out, "  Urgent: p50 %.1f ms, p99 %.1f ms; deferrable: p99 %.1f ms\n", re.UrgentP50Milliseconds, re.UrgentP99Milliseconds, re.DeferrableP99Milliseconds)
	fmt.Fprintf(out, "  Imbalance %.3f, broken flows %d (%d of a crashed host)\n", re.Imbalance, re.BrokenFlows, re.CrashedHostFlows)
	fmt.Fprintf(out, "  Configuration in force after %d ms, %d store calls, %.0f control bytes a second and instance\n", re.ConfigurationInForceMilliseconds, re.StoreCalls, re.ControlBytesPerNodeSecond)
	if broken := re.BrokenPromises(); len(broken) > 0 {
		fmt.Fprintf(out, "  Broken promises: %v\n", broken)
		return
	}
	fmt.Fprintln(out, "  Every promise was kept.")
}

// Write writes the report as JSON.
func (re *Report) Write(path string) error {
	data, err := json.MarshalIndent(re, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}
