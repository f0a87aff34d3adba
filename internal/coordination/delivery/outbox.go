package delivery

import (
	"net/netip"
	"slices"
	"time"
)

// MaxPending bounds the items waiting for one peer; digests repair what is
// dropped beyond it.
const MaxPending = 4096

// pending is the queue of one peer. It holds names, so that only the newest
// revision of an item is ever sent.
type pending struct {
	urgent   []Identity
	ordinary []Identity
	queued   map[Identity]struct{}
}

// outbox holds what waits to be sent, by peer.
type outbox struct {
	queues map[netip.AddrPort]*pending
	order  []netip.AddrPort
}

// add queues an item for a peer.
func (ob *outbox) add(to netip.AddrPort, id Identity, urgent bool) {
	queue := ob.queues[to]
	if queue == nil {
		queue = &pending{queued: make(map[Identity]struct{})}
		ob.queues[to] = queue
		ob.order = append(ob.order, to)
	}
	if _, ok := queue.queued[id]; ok {
		if urgent {
			queue.promote(id)
		}
		return
	}
	if len(queue.queued) >= MaxPending {
		queue.dropOldest()
	}
	queue.queued[id] = struct{}{}
	queue.compact()
	if urgent {
		queue.urgent = append(queue.urgent, id)
	} else {
		queue.ordinary = append(queue.ordinary, id)
	}
}

// cancel forgets an item that the peer is known to have.
func (ob *outbox) cancel(to netip.AddrPort, id Identity) {
	queue := ob.queues[to]
	if queue == nil {
		return
	}
	delete(queue.queued, id)
}

// retain drops the queues of peers that fail the condition, and empty ones.
func (ob *outbox) retain(keep func(netip.AddrPort) bool) {
	ob.order = slices.DeleteFunc(ob.order, func(address netip.AddrPort) bool {
		if keep(address) && len(ob.queues[address].queued) > 0 {
			return false
		}
		delete(ob.queues, address)
		return true
	})
}

// promote moves an ordinary item to the urgent ones.
func (pe *pending) promote(id Identity) {
	at := slices.Index(pe.ordinary, id)
	if at < 0 {
		return
	}
	pe.ordinary = slices.Delete(pe.ordinary, at, at+1)
	pe.urgent = append(pe.urgent, id)
}

// compact drops cancelled names once they outnumber the queued ones.
func (pe *pending) compact() {
	if len(pe.urgent)+len(pe.ordinary) <= 2*MaxPending {
		return
	}
	cancelled := func(id Identity) bool {
		_, ok := pe.queued[id]
		return !ok
	}
	pe.urgent = slices.DeleteFunc(pe.urgent, cancelled)
	pe.ordinary = slices.DeleteFunc(pe.ordinary, cancelled)
}

// dropOldest drops the item that has waited longest, ordinary ones first.
func (pe *pending) dropOldest() {
	queue := &pe.ordinary
	if len(*queue) == 0 {
		queue = &pe.urgent
	}
	if len(*queue) == 0 {
		return
	}
	delete(pe.queued, (*queue)[0])
	*queue = (*queue)[1:]
}

// collect takes the items of one message of at most limit bytes from the
// queue: the urgent ones in order, then the newest of the others.
func (pe *pending) collect(ta *Table, limit int, urgentOnly bool, now time.Time) []Item {
	var items []Item
	size := 0
	take := func(id Identity) bool {
		if _, ok := pe.queued[id]; !ok {
			return true
		}
		it, ok := ta.Get(id, now)
		if ok && size+it.Size() > limit {
			return false
		}
		delete(pe.queued, id)
		if ok {
			items = append(items, it)
			size += it.Size()
		}
		return true
	}
	for len(pe.urgent) > 0 && take(pe.urgent[0]) {
		pe.urgent = pe.urgent[1:]
	}
	if urgentOnly || len(pe.urgent) > 0 {
		return items
	}
	for len(pe.ordinary) > 0 && take(pe.ordinary[len(pe.ordinary)-1]) {
		pe.ordinary = pe.ordinary[:len(pe.ordinary)-1]
	}
	return items
}
