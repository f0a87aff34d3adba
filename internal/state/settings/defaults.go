package settings

import "time"

// The defaults of all roles.
const (
	// defaultStopWithin leaves long requests time to end.
	defaultStopWithin = 30 * time.Second
	// defaultWorkers is the number of datagram workers for each socket.
	defaultWorkers = 2
	// defaultSlots is the number of requests a backend server works on at once.
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

func defaultCommon() Common {
	return Common{StopWithin: Duration(defaultStopWithin)}
}
