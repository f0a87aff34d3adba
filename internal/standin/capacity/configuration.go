package capacity

import (
	"time"

	"corneltiller.dev/corneltiller/internal/standin/spread"
)

const (
	configurationWarmUp = time.Minute
	configurationWindow = time.Minute
	// inForceLimit is when a change that isn't in force is given up.
	inForceLimit = time.Minute
	// changesMeasured is the number of changes of which the mean is taken.
	changesMeasured = 5
	lossPercent     = 10
	targetDomains   = 9
)

func configurationExperiments() []experiment {
	bound := []experiment{
		{
			Slope:   Slope{Role: "platform", Quantity: "store calls a second in quiet", Unit: "calls/s", Per: "instances"},
			measure: quietCalls,
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
	// News passes through a number of rounds that grows with the logarithm.
	bound[1].Logarithmic = true
	bound[2].Logarithmic = true
	for i := range bound {
		bound[i].Sizes = []float64{32, 64, 128, 256, 512}
		bound[i].Target = TargetNodes
	}
	return bound
}

func newSpread(instances int) *spread.Fleet {
	fl := spread.New(spread.Options{Instances: instances, Domains: targetDomains, LossPercent: lossPercent, Seed: measureSeed})
	fl.Run(configurationWarmUp)
	return fl
}

func quietCalls(instances int) float64 {
	fl := newSpread(instances)
	before := fl.Calls.Total()
	fl.Run(configurationWindow)
	return float64(fl.Calls.Total()-before) / configurationWindow.Seconds()
}

// timeToInForce returns the mean over changes made one after another.
func timeToInForce(instances int) float64 {
	fl := newSpread(instances)
	var sum time.Duration
	for number := range changesMeasured {
		fl.Change(spread.AddService(number))
		elapsed, _ := fl.RunUntilInForce(inForceLimit)
		sum += elapsed
	}
	return sum.Seconds() / changesMeasured
}

// bytesForChange returns what a change adds to what one instance sends.
func bytesForChange(instances int) float64 {
	fl := newSpread(instances)
	before := fl.BytesSent
	fl.Run(configurationWindow)
	quiet := float64(fl.BytesSent - before)
	before = fl.BytesSent
	for number := range changesMeasured {
		fl.Change(spread.AddService(number))
		fl.Run(configurationWindow / changesMeasured)
	}
	return (float64(fl.BytesSent-before) - quiet) / changesMeasured / float64(instances)
}
