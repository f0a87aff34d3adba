// Package link sends messages and requests between the load balancer's own
// processes over WebSocket connections with mutual TLS, which it calls links.
//
// A process receives messages with a Server, whose Mux holds one handler for each
// kind, and sends them with a Pool, which keeps one connection for each peer.
//
// # Usage
//
//	mux := link.NewMux()
//	link.On(mux, message.KindNotice, func(ctx context.Context, pe link.Peer, no relay.Notice) (any, error) {
//		return nil, handle(no)
//	})
//	srv := &link.Server{Mux: mux}
//
//	pool := link.NewPool(tlsConfig)
//	err := pool.Send(ctx, peer, message.KindNotice, notice)
//	err = pool.Call(ctx, peer, message.KindNotice, question, &answer)
package link

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/message"
)

// Path is the HTTP path at which a process accepts links.
const Path = "/Link"

// Peer is the other end of a link.
type Peer struct {
	// Address is where the peer's connection comes from.
	Address netip.AddrPort
	// Name is the common name of the peer's certificate, empty if it has none.
	Name string
}

// RefusedError is the error of a request that the peer refused.
type RefusedError struct {
	Peer netip.AddrPort
	message.Failure
}

// Error names the peer, the step and the reason.
func (er *RefusedError) Error() string {
	return "peer " + er.Peer.String() + " refused to " + er.Step + ": " + er.Reason
}

// Handler handles one message. If the message is a request, the returned value is
// sent as the body of the answer, an empty body for nil, or the error as a
// message.Failure. The value is ignored if the message is one-way.
type Handler func(ctx context.Context, pe Peer, msg message.Message) (any, error)

// Mux dispatches each message to the handler of its kind.
type Mux struct {
	handlers map[message.Kind]Handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[message.Kind]Handler)}
}

// Handle sets the handler of a kind. It must not be called after the Mux has begun
// to dispatch messages.
func (mx *Mux) Handle(kind message.Kind, ha Handler) {
	mx.handlers[kind] = ha
}

// On sets a handler for messages of a kind whose body has the type T. A body that
// can't be decoded as T is refused.
func On[T any](mx *Mux, kind message.Kind, ha func(ctx context.Context, pe Peer, body T) (any, error)) {
	mx.Handle(kind, func(ctx context.Context, pe Peer, msg message.Message) (any, error) {
		var body T
		if err := msg.Decode(&body); err != nil {
			return nil, err
		}
		return ha(ctx, pe, body)
	})
}

// dispatch calls the handler of a message and returns the answer to send.
func (mx *Mux) dispatch(ctx context.Context, pe Peer, msg message.Message) (message.Message, error) {
	ha, ok := mx.handlers[msg.Kind]
	if !ok {
		return message.Message{}, errors.Errorf("handle message of unknown kind %d from %s", msg.Kind, pe.Address)
	}
	answer, err := ha(ctx, pe, msg)
	if err != nil {
		return message.Message{}, err
	}
	return message.New(msg.Kind, answer)
}
