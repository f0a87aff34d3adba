package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// Outcomes counts the requests by outcome.
type Outcomes struct {
	Answered int
	NotRun   int
	Unknown  int
}

// Report holds the results of a demo. The counts of flows and requests come from
// the records of the callers and of the backend servers.
type Report struct {
	Plan string
	Seed uint64
	// Flows is the number of callers plus the number of flows that a host closed
	// gracefully. Flows opened after a broken one are not counted.
	Flows int
	// Requests is the number of requests sent.
	Requests int
	// BrokenFlows is the number of flows that ended without a graceful close by the
	// host.
	BrokenFlows int
	// CrashedHostFlows is how many of BrokenFlows were held by a crashed host.
	CrashedHostFlows int
	// MisroutedPackets is the number of runs of requests at a backend server of
	// another service.
	MisroutedPackets int
	// LostBookings is the number of bookings that were answered and never ran.
	LostBookings int
	// DoubledBookings is the number of bookings that ran more than once.
	DoubledBookings int
	// NotRunButRan is the number of requests that ran although the caller was told
	// that they had not.
	NotRunButRan int
	// WrongAnswers is the number of answers that were incomplete or belonged to
	// another request.
	WrongAnswers int
	// CutByStop is the number of requests with an unknown outcome that no crash
	// explains, such as those cut by a graceful stop.
	CutByStop int
	// NewWorkAfterDrain is the number of runs that a backend server began more than
	// 3 s after the drain of its host had started.
	NewWorkAfterDrain int
	// RevertedConfigurations is the number of times that an instance went back to a
	// lower version, or lacked an accepted change at the end.
	RevertedConfigurations int
	// RefusedButInForce is the number of times that an instance had a refused change
	// in force at the end.
	RefusedButInForce int
	// ConfigurationInForceMilliseconds is the longest time from the request of an
	// accepted change until it was in force at every instance. A change that was not
	// by 19 s after the request counts with about 19 s.
	ConfigurationInForceMilliseconds int64
	// Imbalance is the largest total run time of a backend server divided by the
	// mean of its service, for the service where this is largest. Backend servers
	// whose hosts the plan added, drained or crashed are left out.
	Imbalance float64
	// UrgentP50Milliseconds and UrgentP99Milliseconds are latencies of answered
	// urgent requests.
	UrgentP50Milliseconds float64
	UrgentP99Milliseconds float64
	// DeferrableP99Milliseconds is the latency of answered deferrable requests.
	DeferrableP99Milliseconds float64
	Outcomes                  Outcomes
	// StoreCalls is the number of calls that reached the platform's store.
	StoreCalls uint64
	// ControlBytesPerNodeSecond is the control traffic of all instances in bytes per
	// second, divided by the number of instances at the start.
	ControlBytesPerNodeSecond float64
}

// promise is a guarantee to callers or operators, as a count of violations that
// must be zero.
type promise struct {
	name  string
	count int
}

// BrokenPromises returns each promise that was broken, as NAME=COUNT.
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

// Print writes a short summary as text.
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

// Write writes the report as JSON to the file at the path.
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
