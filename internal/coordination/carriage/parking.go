package carriage

import (
	"maps"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// parkingRetry is the interval at which waiting openings are tried again while
	// no agent is heard: a fraction of the time that a host takes for one request.
	parkingRetry = 20 * time.Millisecond
)

// parking holds the openings that wait at a balancer, by service, until a host
// is available and has room. It bridges the time in which no host of a service is
// available, for example while all agents restart. The order is that of the
// agents' queues.
type parking struct {
	openingTimeout time.Duration
	queues         map[string]*queue
	// retry is when to place waiting openings again, zero while none waits.
	retry time.Time
}

func newParking(timeout time.Duration) parking {
	return parking{openingTimeout: timeout, queues: make(map[string]*queue)}
}

// add adds an opening. It reports false if the queue of the service refuses it.
func (pk *parking) add(now time.Time, tf *trackedFlow, ro catalog.Route) bool {
	qu, ok := pk.queues[tf.service]
	if !ok {
		created := newQueue(pk.openingTimeout)
		qu = &created
		pk.queues[tf.service] = qu
	}
	fp := ForwardedPacket{Packet: Packet{Flow: tf.flow, Opening: true, Copy: tf.copyNumber}, Started: tf.started()}
	// The queue has no shares, so nothing is evicted from it.
	_, added := qu.add(now, fp, nil, ro, maxQueued)
	return added
}

// length returns the number of openings that wait.
func (pk *parking) length() int {
	total := 0
	for _, qu := range pk.queues {
		total += len(qu.items)
	}
	return total
}

// park adds an opening to those that wait at the balancer. The opening is refused
// if the queue of its service doesn't take it.
func (pl *Placer) park(now time.Time, tf *trackedFlow) {
	var ro catalog.Route
	if pl.routes != nil {
		ro = pl.routes.Addresses[tf.flow.Service]
	}
	if !pl.parking.add(now, tf, ro) {
		pl.refuseOpening(now, tf, ReasonFull)
		return
	}
	tf.phase = phaseParked
	tf.agent = nil
	if pl.parking.retry.IsZero() {
		pl.parking.retry = now.Add(parkingRetry)
	}
	pl.actions = append(pl.actions, Action{Kind: KindPark, Flow: tf.flow, Opening: true, Attempt: len(tf.tried)})
}

// parkOrRefuse parks an opening that no host takes if a host may become available
// soon, else refuses it.
func (pl *Placer) parkOrRefuse(now time.Time, tf *trackedFlow) {
	if pl.mayBecomeAvailable(now, tf.service) {
		pl.park(now, tf)
		return
	}
	pl.refuseOpening(now, tf, pl.reasonNoHost(tf))
}

// refuseOpening forgets and refuses an opening. If a host may have accepted it, the
// packet is dropped instead of reset, so that the caller's next copy tries again.
func (pl *Placer) refuseOpening(now time.Time, tf *trackedFlow, re Reason) {
	pl.forget(tf)
	if tf.unconfirmed || !tf.hasAllCopies(now) {
		pl.drop(tf.flow, ReasonUnconfirmed, true)
		return
	}
	pl.refuse(tf.flow, 0, re)
}

// mayBecomeAvailable reports whether a host of the service may take new flows
// soon: the balancer has just started or lacks routes or evacuations, or an agent of the
// service whose domain isn't evacuated is suspected or has no host that answers.
func (pl *Placer) mayBecomeAvailable(now time.Time, service string) bool {
	if !pl.informed() || now.Before(pl.startup) {
		return true
	}
	for _, ag := range pl.pools[service] {
		if !ag.evacuated && (ag.suspect || ag.report.State == 0) {
			return true
		}
	}
	return false
}

// unpark refuses openings whose callers are about to give up and places the others
// as far as hosts have room.
func (pl *Placer) unpark(now time.Time) {
	if pl.parking.retry.IsZero() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(pl.parking.queues)) {
		qu := pl.parking.queues[service]
		for _, it := range qu.expired(now) {
			pl.refuseExpired(now, it.packet.Flow)
		}
		// placeParked may park an opening again, so each one is tried at most once.
		for turns := len(qu.items); turns > 0 && pl.mayPlace(now, service); turns-- {
			it, _ := qu.next(now)
			pl.placeParked(now, it.packet.Flow)
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

// refuseExpired refuses a parked opening whose caller is about to give up.
func (pl *Placer) refuseExpired(now time.Time, flow Flow) {
	if tf, ok := pl.flows.get(now, flow); ok && tf.phase == phaseParked {
		pl.refuseOpening(now, tf, pl.reasonNoHost(tf))
	}
}

// placeParked places a parked opening. It parks the opening again, under the
// service that the routes give now, if that has changed or has no room.
func (pl *Placer) placeParked(now time.Time, flow Flow) {
	tf, ok := pl.flows.get(now, flow)
	if !ok || tf.phase != phaseParked {
		return
	}
	service, re := pl.serviceOf(flow)
	if re != ReasonNone {
		pl.refuseOpening(now, tf, re)
		return
	}
	if tf.service != service || !pl.hasRoom(now, service) {
		// The service changes if the routes were unknown when the opening arrived,
		// or have changed since.
		tf.service = service
		pl.park(now, tf)
		return
	}
	tf.phase = phaseOpening
	tf.tried = tf.tried[:0]
	tf.busy = tf.busy[:0]
	tf.evacuated = nil
	tf.warming = nil
	pl.place(now, tf)
}

// mayPlace reports whether an opening that waits for the service may be placed.
// The service is "" for openings that arrived before the routes were known.
func (pl *Placer) mayPlace(now time.Time, service string) bool {
	if !pl.informed() {
		return false
	}
	return service == "" || pl.hasRoom(now, service)
}

// hasRoom reports whether a host of the service that takes new flows is estimated
// to have less than flowsPerSlot requests for each slot and is below its warm-up limit.
func (pl *Placer) hasRoom(now time.Time, service string) bool {
	share := pl.coldShare(service)
	for _, ag := range pl.pools[service] {
		if ag.takesNewFlows() && !ag.isAtWarmUpLimit(now, share) && ag.estimate(now) < float64(flowsPerSlot*ag.report.Slots) {
			return true
		}
	}
	return false
}
