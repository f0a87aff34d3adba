package settings

import "time"

// The defaults of the balancer and the agent.
const (
	// defaultStopWithin gives long requests time to finish.
	defaultStopWithin = 30 * time.Second
	// defaultWorkers is the number of goroutines that process datagrams, for each
	// UDP address listened on.
	defaultWorkers = 2
	// defaultSlots is the number of requests a backend server processes at once.
	defaultSlots = 2
)

// DefaultBalancer returns the defaults of a balancer.
func DefaultBalancer() Balancer {
	return Balancer{Common: defaultCommon(), Workers: defaultWorkers}
}

// DefaultAgent returns the defaults of an agent.
func DefaultAgent() Agent {
	return Agent{Common: defaultCommon(), Slots: defaultSlots, Workers: defaultWorkers}
}

// DefaultConsole returns the defaults of the operators' console.
func DefaultConsole() Console {
	return Console{}
}

// defaultCommon returns the defaults that all roles but the console share.
func defaultCommon() Common {
	return Common{StopWithin: Duration(defaultStopWithin)}
}
