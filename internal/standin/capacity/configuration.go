package capacity

import (
	"time"

	"corneltiller.dev/corneltiller/internal/standin/spread"
)

const (
	configurationWarmUp = time.Minute
	configurationWindow = time.Minute
	// inForceTimeout is the longest wait for a change to be in force everywhere. A
	// change that takes longer counts with this time.
	inForceTimeout = time.Minute
	// changeCount is the number of changes over which the mean is taken.
	changeCount = 5
	// lossPercent is the percentage of messages between instances that are lost.
	lossPercent = 10
	// targetDomains is the number of failure domains of the target fleet.
	targetDomains = 9
)

func configurationExperiments() []experiment {
	experiments := []experiment{
		{
			Slope:   Slope{Role: "platform", Quantity: "store calls a second in quiet", Unit: "calls/s", Per: "instances"},
			measure: idleStoreCalls,
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "time until a change is in force everywhere", Unit: "s", Per: "instances"},
			measure: timeToInForce,
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "bytes sent for one change", Unit: "B", Per: "instances"},
			measure: bytesForChange,
		},
	}
	// A change reaches all instances in a number of gossip rounds that grows with
	// the logarithm of their number.
	experiments[1].Logarithmic = true
	experiments[2].Logarithmic = true
	for i := range experiments {
		experiments[i].Sizes = []float64{32, 64, 128, 256, 512}
		experiments[i].Target = TargetBalancers
	}
	return experiments
}

// newSpreadFleet returns a simulated fleet after its warm-up.
func newSpreadFleet(instances int) *spread.Fleet {
	fl := spread.New(spread.Options{Instances: instances, Domains: targetDomains, LossPercent: lossPercent, Seed: measureSeed})
	fl.Run(configurationWarmUp)
	return fl
}

// idleStoreCalls returns the store calls per second of the whole fleet while the
// configuration does not change.
func idleStoreCalls(instances int) float64 {
	fl := newSpreadFleet(instances)
	before := fl.Calls.Total()
	fl.Run(configurationWindow)
	return float64(fl.Calls.Total()-before) / configurationWindow.Seconds()
}

// timeToInForce returns the mean time in seconds until a change is in force at all
// instances, over changes made one after another.
func timeToInForce(instances int) float64 {
	fl := newSpreadFleet(instances)
	var sum time.Duration
	for number := range changeCount {
		fl.Change(spread.AddService(number))
		elapsed, _ := fl.RunUntilInForce(inForceTimeout)
		sum += elapsed
	}
	return sum.Seconds() / changeCount
}

// bytesForChange returns the number of bytes that a change adds to those that one
// instance sends anyway, as a mean over instances and changes.
func bytesForChange(instances int) float64 {
	fl := newSpreadFleet(instances)
	before := fl.BytesSent
	fl.Run(configurationWindow)
	quiet := float64(fl.BytesSent - before)
	before = fl.BytesSent
	for number := range changeCount {
		fl.Change(spread.AddService(number))
		fl.Run(configurationWindow / changeCount)
	}
	return (float64(fl.BytesSent-before) - quiet) / changeCount / float64(instances)
}
