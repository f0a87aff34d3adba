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

// The bounds of messages between agents.
const (
	noticeTimeout   = time.Second
	handOverTimeout = 2 * time.Second
)

// Register sets the handlers of the messages from other agents.
func (de *Handler) Register(mux *link.Mux) {
	link.On(mux, message.KindRelay, de.takeRequest)
	link.On(mux, message.KindProbe, de.takeNotice)
	link.On(mux, message.KindHandover, de.takePage)
}

// takeRequest runs or answers a request that another agent passed on.
func (de *Handler) takeRequest(ctx context.Context, pe link.Peer, re relay.Request) (any, error) {
	if re.Service != de.cfg.Host.Service {
		return nil, errors.Errorf("take request of service %d from %s", re.Service, pe.Address)
	}
	if re.Origin != dispatch.OriginRelay && re.Origin != dispatch.OriginDelegate {
		return nil, errors.Errorf("take request of origin %d from %s", re.Origin, pe.Address)
	}
	remaining := min(max(re.Remaining, 0), outcome.MaxTimeout)
	ta := newTask(re)
	id := de.open(ta, dispatch.Request{
		Origin:     re.Origin,
		Peer:       re.From,
		Caller:     re.Caller,
		Class:      re.Class,
		Deadline:   time.Now().Add(remaining),
		Repeatable: re.Repeatable,
		Ticket:     re.Ticket.Ledger(),
		Digest:     re.Digest,
	})
	select {
	case resp := <-ta.done:
		return relay.Response{Outcome: resp.Outcome, Reason: resp.Reason, Held: resp.Held, Answer: resp.Answer}, nil
	case <-ctx.Done():
		de.leave(id)
		return nil, errors.Wrapf(ctx.Err(), "answer request of %s", pe.Address)
	}
}

// takeNotice takes word of a free slot or of a request no longer needed.
func (de *Handler) takeNotice(_ context.Context, pe link.Peer, no relay.Notice) (any, error) {
	switch no.Verb {
	case relay.VerbProbe:
		de.tell(dispatch.Probed{Peer: no.From, Class: no.Class})
	case relay.VerbGrant:
		de.tell(dispatch.Granted{Peer: no.From, Load: no.Load})
	case relay.VerbDecline:
		de.tell(dispatch.Declined{Peer: no.From})
	case relay.VerbWithdraw:
		de.mu.Lock()
		id, ok := de.numbers[origin{from: no.From, number: no.Number}]
		de.mu.Unlock()
		if ok {
			de.leave(id)
		}
	default:
		return nil, errors.Errorf("take notice of verb %d from %s", no.Verb, pe.Address)
	}
	return nil, nil
}

// takePage takes a page of a stopping agent's ledger.
func (de *Handler) takePage(_ context.Context, pe link.Peer, pa relay.Page) (any, error) {
	if pa.Snapshot.Service != de.cfg.Host.Service {
		return nil, errors.Errorf("take ledger of service %d from %s", pa.Snapshot.Service, pe.Address)
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	sn, whole, err := de.binder.Add(pa)
	if err != nil {
		return nil, errors.Wrapf(err, "take ledger from %s", pe.Address)
	}
	if whole {
		de.handle(dispatch.SnapshotReceived{Snapshot: sn})
		klog.InfoS("Ledger adopted", "Home", sn.Home.Host, "Incarnation", sn.Home.Incarnation, "Records", len(sn.Records))
	}
	return nil, nil
}

// passOn sends a request to the peer and returns its response. Sent is false
// if the peer is not known.
func (de *Handler) passOn(control netip.AddrPort, re relay.Request, deadline time.Time) (relay.Response, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(responseGrace))
	defer cancel()
	re.Remaining = time.Until(deadline)
	var resp relay.Response
	err := de.cfg.Pool.Call(ctx, control, message.KindRelay, re, &resp)
	return resp, err
}

// request returns the request of a task as it is passed on under its number.
func (de *Handler) request(id dispatch.RequestID, or dispatch.Origin) relay.Request {
	re := de.tasks[id].request
	re.From = de.home.Host
	re.Number = id
	re.Origin = or
	return re
}

// relay asks the peer about a request with a ticket of another home. The
// caller holds the lock.
func (de *Handler) relay(ac dispatch.Relay) {
	control, known := de.controls[ac.Peer]
	re := de.request(ac.ID, dispatch.OriginRelay)
	go func() {
		if !known {
			de.tell(dispatch.RelayFailed{ID: ac.ID})
			return
		}
		resp, err := de.passOn(control, re, ac.Deadline)
		if err != nil {
			klog.V(1).InfoS("Relay failed", "Peer", ac.Peer, "Err", err)
			de.tell(dispatch.RelayFailed{ID: ac.ID})
			return
		}
		de.tell(dispatch.Relayed{
			ID: ac.ID, Outcome: resp.Outcome, Reason: resp.Reason, Held: resp.Held, Answer: resp.Answer,
		})
	}()
}

// delegate lets the peer run a request. The caller holds the lock.
func (de *Handler) delegate(ac dispatch.Delegate) {
	control, known := de.controls[ac.Peer]
	re := de.request(ac.ID, dispatch.OriginDelegate)
	go func() {
		if !known {
			de.finish(ac.ID, dispatch.DelegateFailed{ID: ac.ID, Peer: ac.Peer})
			return
		}
		resp, err := de.passOn(control, re, ac.Deadline)
		if err != nil {
			klog.V(1).InfoS("Delegation failed", "Peer", ac.Peer, "Err", err)
			de.finish(ac.ID, dispatch.DelegateFailed{ID: ac.ID, Peer: ac.Peer, Sent: true})
			return
		}
		de.finish(ac.ID, dispatch.Delegated{
			ID: ac.ID, Peer: ac.Peer, Outcome: resp.Outcome, Reason: resp.Reason, Answer: resp.Answer,
		})
	}()
}

// finish gives the end of a peer's part to the core and forgets the task if
// that was the last of it.
func (de *Handler) finish(id dispatch.RequestID, ev dispatch.Event) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.handle(ev)
	if ta, ok := de.tasks[id]; ok {
		de.release(id, ta)
	}
}

// notify sends a notice without waiting. The caller holds the lock.
func (de *Handler) notify(peer netip.AddrPort, no relay.Notice) {
	control, known := de.controls[peer]
	if !known {
		return
	}
	no.From = de.home.Host
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if err := de.cfg.Pool.Send(ctx, control, message.KindProbe, no); err != nil {
			klog.V(1).InfoS("Notice failed", "Peer", peer, "Err", err)
		}
	}()
}

// handOver sends the snapshots to a successor.
func (de *Handler) handOver(ac dispatch.HandOver) {
	de.mu.Lock()
	control, known := de.controls[ac.Peer]
	de.mu.Unlock()
	err := errors.Errorf("hand ledger over to %s: unknown host", ac.Peer)
	if known {
		err = de.sendSnapshots(control, ac)
	}
	if err != nil {
		klog.InfoS("Ledger not handed over", "Peer", ac.Peer, "Err", err)
	}
	de.tell(dispatch.HandedOver{Peer: ac.Peer, Adopted: err == nil})
}

// sendSnapshots sends all pages in order.
func (de *Handler) sendSnapshots(control netip.AddrPort, ac dispatch.HandOver) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for _, sn := range ac.Snapshots {
		for _, pa := range relay.Split(sn) {
			if err := de.cfg.Pool.Call(ctx, control, message.KindHandover, pa, nil); err != nil {
				return errors.Wrapf(err, "hand ledger over to %s", ac.Peer)
			}
		}
	}
	return nil
}
