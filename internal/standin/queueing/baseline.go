package queueing

import (
	"math/rand/v2"
)

// station is a queue before some slots. It serves urgent requests first only
// if it is the central one; others serve in the order of arrival.
type station struct {
	slots  int
	open   int
	free   int
	queues [2][]*call
}

// baseline places requests by a textbook policy.
type baseline struct {
	*loop
	workload Workload
	policy   Policy
	random   *rand.Rand
	stations []*station
	turn     int
	book     *book
}

// newBaseline returns a baseline in which all hosts are idle.
func newBaseline(lo *loop, wl Workload, po Policy, bo *book) *baseline {
	ba := &baseline{loop: lo, workload: wl, policy: po, book: bo, random: rand.New(rand.NewPCG(wl.Seed, 2))}
	count, slots := wl.Hosts, wl.Slots
	if po == PolicyCentral {
		count, slots = 1, wl.Hosts*wl.Slots
	}
	for range count {
		ba.stations = append(ba.stations, &station{slots: slots, free: slots})
	}
	return ba
}

// pick returns the station for the next request.
func (ba *baseline) pick() int {
	count := len(ba.stations)
	switch ba.policy {
	case PolicyRandom:
		return ba.random.IntN(count)
	case PolicyRoundRobin:
		ba.turn = (ba.turn + 1) % count
		return ba.turn
	case PolicyLeastConnections:
		best := ba.random.IntN(count)
		for at, st := range ba.stations {
			if st.open < ba.stations[best].open {
				best = at
			}
		}
		return best
	case PolicyTwoChoices:
		one, two := ba.random.IntN(count), ba.random.IntN(count)
		if ba.stations[two].open < ba.stations[one].open {
			return two
		}
		return one
	default:
		return 0
	}
}

// arrive places a request.
func (ba *baseline) arrive(ca *call) {
	at := ba.pick()
	st := ba.stations[at]
	queue := 0
	if ba.policy == PolicyCentral {
		queue = int(ca.class)
	}
	st.open++
	st.queues[queue] = append(st.queues[queue], ca)
	ba.serve(at)
}

// serve fills the free slots of the station.
func (ba *baseline) serve(at int) {
	st := ba.stations[at]
	for st.free > 0 {
		ca := st.next()
		if ca == nil {
			return
		}
		if ba.now.Add(meanService / 2).After(ca.deadline) {
			st.open--
			ba.book.refuse(ca)
			continue
		}
		ba.start(at, ca)
	}
}

// start runs a request at the station.
func (ba *baseline) start(at int, ca *call) {
	st := ba.stations[at]
	st.free--
	host := at
	if ba.policy == PolicyCentral {
		host = ca.host
	}
	ba.book.run(ba.now, ca, host)
	ba.after(ba.workload.serviceAt(ba.now, ca), func() {
		st.free++
		st.open--
		ba.book.answer(ba.now, ca)
		ba.serve(at)
	})
}

// next removes the request that is served first.
func (st *station) next() *call {
	for cl := range st.queues {
		if len(st.queues[cl]) > 0 {
			ca := st.queues[cl][0]
			st.queues[cl] = st.queues[cl][1:]
			return ca
		}
	}
	return nil
}
