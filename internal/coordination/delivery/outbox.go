package delivery

import (
	"net/netip"
	"slices"
	"time"
)

// MaxPending is the number of items waiting for one peer from which on each
// further item drops the oldest; digests repair the loss. See dropOldest for
// when more than that wait.
const MaxPending = 4096

// peerQueue is the queue of one peer. It holds identities and not items, so that
// the newest revision at the time of sending is sent.
type peerQueue struct {
	urgent   []Identity
	ordinary []Identity
	// queued holds the identities that were not cancelled.
	queued map[Identity]struct{}
}

// outbox holds the queues of items to send, by peer.
type outbox struct {
	queues map[netip.AddrPort]*peerQueue
	// order holds the peers that have a queue, oldest queue first.
	order []netip.AddrPort
}

// add queues an item for a peer, once. An item that is queued already becomes
// urgent if urgent is set.
func (ob *outbox) add(to netip.AddrPort, id Identity, urgent bool) {
	queue := ob.queues[to]
	if queue == nil {
		queue = &peerQueue{queued: make(map[Identity]struct{})}
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

// cancel removes an item that the peer is known to hold from its queue.
func (ob *outbox) cancel(to netip.AddrPort, id Identity) {
	queue := ob.queues[to]
	if queue == nil {
		return
	}
	delete(queue.queued, id)
}

// retain drops the queues of peers for which keep is false, and empty queues.
func (ob *outbox) retain(keep func(netip.AddrPort) bool) {
	ob.order = slices.DeleteFunc(ob.order, func(address netip.AddrPort) bool {
		if keep(address) && len(ob.queues[address].queued) > 0 {
			return false
		}
		delete(ob.queues, address)
		return true
	})
}

// promote moves an item from the ordinary to the urgent ones.
func (pq *peerQueue) promote(id Identity) {
	at := slices.Index(pq.ordinary, id)
	if at < 0 {
		return
	}
	pq.ordinary = slices.Delete(pq.ordinary, at, at+1)
	pq.urgent = append(pq.urgent, id)
}

// compact drops cancelled identities once both lists together are longer than
// twice MaxPending.
func (pq *peerQueue) compact() {
	if len(pq.urgent)+len(pq.ordinary) <= 2*MaxPending {
		return
	}
	cancelled := func(id Identity) bool {
		_, ok := pq.queued[id]
		return !ok
	}
	pq.urgent = slices.DeleteFunc(pq.urgent, cancelled)
	pq.ordinary = slices.DeleteFunc(pq.ordinary, cancelled)
}

// dropOldest drops the first entry of the ordinary list, or of the urgent one if
// that is empty. If the entry was cancelled before, no waiting item is dropped.
func (pq *peerQueue) dropOldest() {
	queue := &pq.ordinary
	if len(*queue) == 0 {
		queue = &pq.urgent
	}
	if len(*queue) == 0 {
		return
	}
	delete(pq.queued, (*queue)[0])
	*queue = (*queue)[1:]
}

// collect removes the items of one message from the queue, of at most limit
// bytes together, and returns them: the urgent ones in the order of queueing,
// then the others from the newest on, unless urgentOnly is set or urgent ones are
// left.
func (pq *peerQueue) collect(ta *Table, limit int, urgentOnly bool, now time.Time) []Item {
	var items []Item
	size := 0
	take := func(id Identity) bool {
		if _, ok := pq.queued[id]; !ok {
			return true
		}
		it, ok := ta.Get(id, now)
		if ok && size+it.Size() > limit {
			return false
		}
		delete(pq.queued, id)
		if ok {
			items = append(items, it)
			size += it.Size()
		}
		return true
	}
	for len(pq.urgent) > 0 && take(pq.urgent[0]) {
		pq.urgent = pq.urgent[1:]
	}
	if urgentOnly || len(pq.urgent) > 0 {
		return items
	}
	for len(pq.ordinary) > 0 && take(pq.ordinary[len(pq.ordinary)-1]) {
		pq.ordinary = pq.ordinary[:len(pq.ordinary)-1]
	}
	return items
}
