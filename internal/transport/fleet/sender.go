package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/membership"
	"corneltiller.dev/corneltiller/internal/protocol/message"
)

const (
	// queueLength is the greatest number of messages that wait for one peer.
	queueLength = 64
	// sendTimeout bounds one send, including opening the connection.
	sendTimeout = time.Second
	// senderIdle is how long a sender without messages is kept before its goroutine
	// ends.
	senderIdle = time.Minute
)

// sender sends one peer's messages in order from a bounded queue. Its goroutine
// ends after senderIdle without messages.
type sender struct {
	fleet *Fleet
	peer  netip.AddrPort

	mu      sync.Mutex
	queue   []membership.Message
	sending bool
	wake    chan struct{}
}

// send queues a message; it is called with Fleet.mu held.
func (fl *Fleet) send(se membership.Send) {
	sd := fl.senders[se.To]
	if sd == nil {
		sd = &sender{fleet: fl, peer: se.To, wake: make(chan struct{}, 1)}
		fl.senders[se.To] = sd
		fl.sending.Go(sd.run)
	}
	sd.add(se.Message)
}

// add queues a message and drops the oldest of a full queue.
func (sd *sender) add(msg membership.Message) {
	sd.mu.Lock()
	if len(sd.queue) >= queueLength {
		sd.queue = sd.queue[1:]
		sd.fleet.cfg.Registry.Count("MembershipMessagesDropped", 1)
	}
	sd.queue = append(sd.queue, msg)
	sd.mu.Unlock()
	select {
	case sd.wake <- struct{}{}:
	default:
	}
}

// next takes the oldest message.
func (sd *sender) next() (membership.Message, bool) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	sd.sending = len(sd.queue) > 0
	if !sd.sending {
		return membership.Message{}, false
	}
	msg := sd.queue[0]
	sd.queue = sd.queue[1:]
	return msg, true
}

// drop discards the queued messages.
func (sd *sender) drop() {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	sd.queue = nil
}

// busy reports whether a message waits or is being sent.
func (sd *sender) busy() bool {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	return sd.sending || len(sd.queue) > 0
}

// run sends queued messages until the fleet closes or the sender has been idle for
// senderIdle.
func (sd *sender) run() {
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		for msg, ok := sd.next(); ok; msg, ok = sd.next() {
			sd.deliver(msg)
			idle.Reset(senderIdle)
		}
		select {
		case _, open := <-sd.wake:
			if !open {
				return
			}
		case <-idle.C:
			if sd.retire() {
				return
			}
			idle.Reset(senderIdle)
		}
	}
}

// deliver sends one message and reports a failure to the membership.
func (sd *sender) deliver(msg membership.Message) {
	ctx, cancel := context.WithTimeout(sd.fleet.sendContext, sendTimeout)
	defer cancel()
	err := sd.transmit(ctx, msg)
	if err == nil {
		sd.fleet.cfg.Registry.Count("MembershipMessagesSent", 1)
		return
	}
	sd.fleet.cfg.Registry.Count("MembershipSendsFailed", 1)
	klog.V(1).InfoS("Membership message not sent", "Peer", sd.peer, "Err", err)
	sd.fleet.handle(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SendFailed(sd.peer, now)
	})
}

// transmit sends a message. A farewell is sent as a request, as only its answer shows
// that it has arrived.
func (sd *sender) transmit(ctx context.Context, msg membership.Message) error {
	pm := peerMessage{From: sd.fleet.control, Message: msg}
	if !sd.fleet.isFarewell(msg) {
		return sd.fleet.cfg.Pool.Send(ctx, sd.peer, message.KindMembership, pm)
	}
	if err := sd.fleet.cfg.Pool.Call(ctx, sd.peer, message.KindMembership, pm, nil); err != nil {
		return err
	}
	sd.fleet.countFarewell()
	return nil
}

// retire removes the sender, unless it has messages or the fleet is closed. It
// reports whether it did.
func (sd *sender) retire() bool {
	fl := sd.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.closed || sd.busy() {
		return false
	}
	delete(fl.senders, sd.peer)
	return true
}

// close cancels the sends in progress, drops the queued messages and waits until
// all senders have ended.
func (fl *Fleet) close() {
	fl.mu.Lock()
	fl.closed = true
	fl.cancelSends()
	for _, sd := range fl.senders {
		sd.drop()
		close(sd.wake)
	}
	fl.mu.Unlock()
	fl.sending.Wait()
}
