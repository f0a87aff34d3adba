package desk

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// The timeouts of messages to other agents.
const (
	// noticeTimeout bounds the sending of one notice.
	noticeTimeout = time.Second
	// handOverTimeout bounds the transfer of all snapshots to one successor.
	handOverTimeout = 2 * time.Second
)

// Register adds the handlers of other agents' messages to the mux: requests,
// notices about slots and requests, and pages of ledgers.
func (ha *Handler) Register(mux *link.Mux) {
	link.On(mux, message.KindRelay, ha.handleRequest)
	link.On(mux, message.KindNotice, ha.handleNotice)
	link.On(mux, message.KindHandover, ha.handlePage)
}

// handleRequest answers a request that another agent relayed or delegated. It
// returns an error if the request is of another service or has an invalid
// origin, or once the sender no longer waits.
func (ha *Handler) handleRequest(ctx context.Context, pe link.Peer, re relay.Request) (any, error) {
	if re.Service != ha.cfg.Host.Service {
		return nil, errors.Errorf("request of service %d from %s: not the service of this host", re.Service, pe.Address)
	}
	if re.Origin != dispatch.OriginRelay && re.Origin != dispatch.OriginDelegate {
		return nil, errors.Errorf("invalid origin %d in a request from %s", re.Origin, pe.Address)
	}
	remaining := min(max(re.Remaining, 0), outcome.MaxTimeout)
	ta := newTask(re)
	id := ha.open(ta, dispatch.Request{
		Origin:     re.Origin,
		Peer:       re.From,
		Caller:     re.Caller,
		Class:      re.Class,
		Deadline:   time.Now().Add(remaining),
		Repeatable: re.Repeatable,
		Ticket:     re.Ticket.LedgerTicket(),
		Digest:     re.Digest,
	})
	select {
	case resp := <-ta.done:
		return relay.Response{Outcome: resp.Outcome, Reason: resp.Reason, Held: resp.Held, Answer: resp.Answer}, nil
	case <-ctx.Done():
		ha.abandon(id)
		return nil, errors.Wrapf(ctx.Err(), "answer request from %s", pe.Address)
	}
}

// handleNotice takes a probe for a free slot, the grant or return of a slot, or
// the withdrawal of a request.
func (ha *Handler) handleNotice(_ context.Context, pe link.Peer, no relay.Notice) (any, error) {
	switch no.Verb {
	case relay.VerbProbe:
		ha.handle(dispatch.Probed{Peer: no.From, Class: no.Class})
	case relay.VerbGrant:
		ha.handle(dispatch.Granted{Peer: no.From, Load: no.Load})
	case relay.VerbDecline:
		ha.handle(dispatch.Declined{Peer: no.From})
	case relay.VerbWithdraw:
		ha.mu.Lock()
		id, ok := ha.idByPeerRequest[peerRequest{peer: no.From, number: no.Number}]
		ha.mu.Unlock()
		if ok {
			ha.abandon(id)
		}
	default:
		return nil, errors.Errorf("invalid verb %d in a notice from %s", no.Verb, pe.Address)
	}
	return nil, nil
}

// handlePage takes a page of a ledger that a stopping agent hands over, and
// adopts the ledger once its last page is there.
func (ha *Handler) handlePage(_ context.Context, pe link.Peer, pa relay.Page) (any, error) {
	if pa.Snapshot.Service != ha.cfg.Host.Service {
		return nil, errors.Errorf("ledger of service %d from %s: not the service of this host", pa.Snapshot.Service, pe.Address)
	}
	ha.mu.Lock()
	defer ha.mu.Unlock()
	sn, complete, err := ha.assembler.Add(pa)
	if err != nil {
		return nil, errors.Wrapf(err, "take ledger from %s", pe.Address)
	}
	if complete {
		ha.handleLocked(dispatch.SnapshotReceived{Snapshot: sn})
		klog.InfoS("Ledger adopted", "Home", sn.Home.Host, "Incarnation", sn.Home.Incarnation, "Records", len(sn.Records))
	}
	return nil, nil
}

// sendRequest sends a request to the peer at a control address and returns the
// response. It waits until responseGrace after the deadline.
func (ha *Handler) sendRequest(control netip.AddrPort, re relay.Request, deadline time.Time) (relay.Response, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(responseGrace))
	defer cancel()
	re.Remaining = time.Until(deadline)
	var resp relay.Response
	err := ha.cfg.Pool.Call(ctx, control, message.KindRelay, re, &resp)
	return resp, err
}

// outgoingRequest returns the request as it is sent to another agent, under this
// agent's host address and number. The lock must be held.
func (ha *Handler) outgoingRequest(id dispatch.RequestID, or dispatch.Origin) relay.Request {
	re := ha.tasks[id].request
	re.From = ha.home.Host
	re.Number = id
	re.Origin = or
	return re
}

// relay sends a request to a peer that may hold the ledger of its ticket. The
// lock must be held.
func (ha *Handler) relay(ac dispatch.Relay) {
	control, known := ha.controlAddresses[ac.Peer]
	re := ha.outgoingRequest(ac.ID, dispatch.OriginRelay)
	go func() {
		if !known {
			ha.handle(dispatch.RelayFailed{ID: ac.ID})
			return
		}
		resp, err := ha.sendRequest(control, re, ac.Deadline)
		if err != nil {
			klog.V(1).InfoS("Relay failed", "Peer", ac.Peer, "Err", err)
			ha.handle(dispatch.RelayFailed{ID: ac.ID})
			return
		}
		ha.handle(dispatch.Relayed{
			ID: ac.ID, Outcome: resp.Outcome, Reason: resp.Reason, Held: resp.Held, Answer: resp.Answer,
		})
	}()
}

// delegate sends a request to a peer that granted a slot for it. The lock must
// be held.
func (ha *Handler) delegate(ac dispatch.Delegate) {
	control, known := ha.controlAddresses[ac.Peer]
	re := ha.outgoingRequest(ac.ID, dispatch.OriginDelegate)
	go func() {
		if !known {
			ha.handleAndRelease(ac.ID, dispatch.DelegateFailed{ID: ac.ID, Peer: ac.Peer})
			return
		}
		resp, err := ha.sendRequest(control, re, ac.Deadline)
		if err != nil {
			klog.V(1).InfoS("Delegation failed", "Peer", ac.Peer, "Err", err)
			ha.handleAndRelease(ac.ID, dispatch.DelegateFailed{ID: ac.ID, Peer: ac.Peer, Sent: true})
			return
		}
		ha.handleAndRelease(ac.ID, dispatch.Delegated{
			ID: ac.ID, Peer: ac.Peer, Outcome: resp.Outcome, Reason: resp.Reason, Answer: resp.Answer,
		})
	}()
}

// handleAndRelease reports the end of a delegation to the dispatcher and forgets
// the task if nothing else needs it.
func (ha *Handler) handleAndRelease(id dispatch.RequestID, ev dispatch.Event) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.handleLocked(ev)
	if ta, ok := ha.tasks[id]; ok {
		ha.release(id, ta)
	}
}

// notify sends a notice without waiting, unless the peer is unknown. The lock
// must be held.
func (ha *Handler) notify(peer netip.AddrPort, no relay.Notice) {
	control, known := ha.controlAddresses[peer]
	if !known {
		return
	}
	no.From = ha.home.Host
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if err := ha.cfg.Pool.Send(ctx, control, message.KindNotice, no); err != nil {
			klog.V(1).InfoS("Notice failed", "Peer", peer, "Err", err)
		}
	}()
}

// handOver sends the snapshots to a successor and reports to the dispatcher
// whether it adopted them.
func (ha *Handler) handOver(ac dispatch.HandOver) {
	ha.mu.Lock()
	control, known := ha.controlAddresses[ac.Peer]
	ha.mu.Unlock()
	err := errors.Errorf("hand ledger over to %s: unknown host", ac.Peer)
	if known {
		err = ha.sendSnapshots(control, ac)
	}
	if err != nil {
		klog.InfoS("Ledger not handed over", "Peer", ac.Peer, "Err", err)
	}
	ha.handle(dispatch.HandedOver{Peer: ac.Peer, Adopted: err == nil})
}

// sendSnapshots sends all pages of the snapshots in order.
func (ha *Handler) sendSnapshots(control netip.AddrPort, ac dispatch.HandOver) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for _, sn := range ac.Snapshots {
		for _, pa := range relay.Split(sn) {
			if err := ha.cfg.Pool.Call(ctx, control, message.KindHandover, pa, nil); err != nil {
				return errors.Wrapf(err, "hand ledger over to %s", ac.Peer)
			}
		}
	}
	return nil
}
