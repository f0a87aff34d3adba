package carriage

import (
	"maps"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// parkingRetry is the time between two looks for room while openings wait
	// and no agent reports: a fraction of the work of one request.
	parkingRetry = 20 * time.Millisecond
)

// parking holds the openings that wait at a balancer, by service, until a host
// appears and has room. It answers outages. The order is that of the agents'
// queues.
type parking struct {
	patience time.Duration
	queues   map[string]*queue
	// retry is when to look for room again, zero while nothing waits.
	retry time.Time
}

func newParking(patience time.Duration) parking {
	return parking{patience: patience, queues: make(map[string]*queue)}
}

// add lets an opening wait. It reports false if there is no room.
func (pk *parking) add(now time.Time, pa *passage, ro catalog.Route) bool {
	qu, ok := pk.queues[pa.service]
	if !ok {
		created := newQueue(pk.patience)
		qu = &created
		pk.queues[pa.service] = qu
	}
	of := ForwardedPacket{Packet: Packet{Flow: pa.flow, Opening: true, Copy: pa.copy}, Started: pa.started()}
	return qu.add(now, of, nil, ro, maxQueued)
}

// length returns the number of openings that wait.
func (pk *parking) length() int {
	total := 0
	for _, qu := range pk.queues {
		total += len(qu.items)
	}
	return total
}

// park lets an opening wait at the balancer, or refuses it if there is no room.
func (pl *Placer) park(now time.Time, pa *passage) {
	var ro catalog.Route
	if pl.routes != nil {
		ro = pl.routes.Addresses[pa.flow.Service]
	}
	if !pl.parking.add(now, pa, ro) {
		pl.refuseOpening(pa, ReasonFull)
		return
	}
	pa.phase = phaseParked
	pa.agent = nil
	if pl.parking.retry.IsZero() {
		pl.parking.retry = now.Add(parkingRetry)
	}
	pl.out = append(pl.out, Action{Kind: KindPark, Flow: pa.flow, Opening: true, Attempt: len(pa.tried)})
}

// giveUp lets an opening that no host takes wait while a host may appear, else
// refuses it.
func (pl *Placer) giveUp(now time.Time, pa *passage) {
	if pl.mayAppear(now, pa.service) {
		pl.park(now, pa)
		return
	}
	pl.refuseOpening(pa, ReasonNoHost)
}

// refuseOpening refuses an opening. After an attempt whose outcome is not known
// the caller's next copy is left to try again.
func (pl *Placer) refuseOpening(pa *passage, re Reason) {
	pl.forget(pa)
	if pa.unconfirmed {
		pl.drop(pa.flow, ReasonUnconfirmed, true)
		return
	}
	pl.refuse(pa.flow, pa.copy, re)
}

// mayAppear reports whether a host of the service may take new flows soon: the
// balancer has just started, or an agent waits for its host or has fallen silent.
func (pl *Placer) mayAppear(now time.Time, service string) bool {
	if pl.routes == nil || now.Before(pl.startup) {
		return true
	}
	for _, ag := range pl.pools[service] {
		if ag.suspect || ag.report.State == 0 {
			return true
		}
	}
	return false
}

// unpark places waiting openings as far as hosts have room.
func (pl *Placer) unpark(now time.Time) {
	if pl.parking.retry.IsZero() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(pl.parking.queues)) {
		qu := pl.parking.queues[service]
		for _, it := range qu.expired(now) {
			pl.expire(now, it.offer.Flow)
		}
		// An opening may be parked again, so each one has one turn.
		for turns := len(qu.items); turns > 0 && pl.mayPlace(now, service); turns-- {
			it, _ := qu.next(now)
			pl.placeParked(now, it.offer.Flow)
		}
		if len(qu.items) == 0 {
			delete(pl.parking.queues, service)
		}
	}
	pl.parking.retry = time.Time{}
	if pl.parking.length() > 0 {
		pl.parking.retry = now.Add(parkingRetry)
	}
}

// expire forgets an opening that its caller has given up.
func (pl *Placer) expire(now time.Time, flow Flow) {
	if pa, ok := pl.flows.get(now, flow); ok && pa.phase == phaseParked {
		pl.forget(pa)
		pl.drop(flow, ReasonNoHost, true)
	}
}

// placeParked places an opening that has waited.
func (pl *Placer) placeParked(now time.Time, flow Flow) {
	pa, ok := pl.flows.get(now, flow)
	if !ok || pa.phase != phaseParked {
		return
	}
	service, re := pl.serviceOf(flow)
	if re != ReasonNone {
		pl.refuseOpening(pa, re)
		return
	}
	if pa.service != service || !pl.hasRoom(now, service) {
		// The routes were unknown when the opening came.
		pa.service = service
		pl.park(now, pa)
		return
	}
	pa.phase = phaseOpening
	pa.tried = pa.tried[:0]
	pa.busy = pa.busy[:0]
	pl.place(now, pa)
}

// mayPlace reports whether an opening that waits for the service can be placed.
// While the routes are unknown the service is "".
func (pl *Placer) mayPlace(now time.Time, service string) bool {
	if pl.routes == nil {
		return false
	}
	return service == "" || pl.hasRoom(now, service)
}

// hasRoom reports whether a host of the service can work on one more request
// soon.
func (pl *Placer) hasRoom(now time.Time, service string) bool {
	for _, ag := range pl.pools[service] {
		if ag.takes() && ag.estimate(now) < float64(overlap*ag.report.Slots) {
			return true
		}
	}
	return false
}
