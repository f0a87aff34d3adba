package queueing

import (
	"math/rand/v2"
)

// station is a set of slots with a queue. Only the single station of
// PolicyCentral serves urgent requests first and has a queue per dispatch.Class;
// the stations of the other policies use the first queue for all requests.
type station struct {
	slots int
	// pending is the number of requests that wait or occupy a slot.
	pending int
	free    int
	queues  [2][]*callerRequest
}

// baseline assigns requests to stations by one of the textbook policies.
type baseline struct {
	*eventLoop
	workload    Workload
	policy      Policy
	random      *rand.Rand
	stations    []*station
	lastStation int
	recorder    *recorder
}

// newBaseline returns a baseline with all slots free: one station per host, or a
// single one with the slots of all hosts for PolicyCentral.
func newBaseline(el *eventLoop, wl Workload, po Policy, rc *recorder) *baseline {
	ba := &baseline{eventLoop: el, workload: wl, policy: po, recorder: rc, random: rand.New(rand.NewPCG(wl.Seed, 2))}
	count, slots := wl.Hosts, wl.Slots
	if po == PolicyCentral {
		count, slots = 1, wl.Hosts*wl.Slots
	}
	for range count {
		ba.stations = append(ba.stations, &station{slots: slots, free: slots})
	}
	return ba
}

// pickStation returns the position of the station for the next request.
func (ba *baseline) pickStation() int {
	count := len(ba.stations)
	switch ba.policy {
	case PolicyRandom:
		return ba.random.IntN(count)
	case PolicyRoundRobin:
		ba.lastStation = (ba.lastStation + 1) % count
		return ba.lastStation
	case PolicyLeastConnections:
		best := ba.random.IntN(count)
		for at, st := range ba.stations {
			if st.pending < ba.stations[best].pending {
				best = at
			}
		}
		return best
	case PolicyTwoChoices:
		one, two := ba.random.IntN(count), ba.random.IntN(count)
		if ba.stations[two].pending < ba.stations[one].pending {
			return two
		}
		return one
	default:
		return 0
	}
}

// arrive adds a request to a station's queue and serves the station.
func (ba *baseline) arrive(ca *callerRequest) {
	at := ba.pickStation()
	st := ba.stations[at]
	queue := 0
	if ba.policy == PolicyCentral {
		queue = int(ca.class)
	}
	st.pending++
	st.queues[queue] = append(st.queues[queue], ca)
	ba.serve(at)
}

// serve starts waiting requests while the station has free slots. It refuses
// requests whose deadline is less than half a mean service time away.
func (ba *baseline) serve(at int) {
	st := ba.stations[at]
	for st.free > 0 {
		ca := st.next()
		if ca == nil {
			return
		}
		if ba.now.Add(meanServiceTime / 2).After(ca.deadline) {
			st.pending--
			ba.recorder.recordRefusal(ca)
			continue
		}
		ba.start(at, ca)
	}
}

// start occupies a slot of the station with the request for its service time. The
// station of PolicyCentral belongs to no host: its executions are recorded for the
// host that the request's flow is hashed to.
func (ba *baseline) start(at int, ca *callerRequest) {
	st := ba.stations[at]
	st.free--
	host := at
	if ba.policy == PolicyCentral {
		host = ca.host
	}
	ba.recorder.recordExecution(ba.now, ca, host)
	ba.scheduleAfter(ba.workload.serviceTimeAt(ba.now, ca), func() {
		st.free++
		st.pending--
		ba.recorder.recordAnswer(ba.now, ca)
		ba.serve(at)
	})
}

// next removes and returns the request to serve next, nil if none waits.
func (st *station) next() *callerRequest {
	for cl := range st.queues {
		if len(st.queues[cl]) > 0 {
			ca := st.queues[cl][0]
			st.queues[cl] = st.queues[cl][1:]
			return ca
		}
	}
	return nil
}
