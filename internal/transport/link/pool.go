package link

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/message"
)

// Pool sends messages over one link to each peer. A broken link is opened again
// when the next message is sent. It is safe for concurrent use.
//
// Lock order: Pool.mu before outgoing.mu.
type Pool struct {
	client *http.Client
	scheme string
	// OnSent is called, if set, with the kind and the length in bytes of each message
	// before it is sent. It is set before the first message.
	OnSent func(kind message.Kind, bytes int)

	mu    sync.Mutex
	links map[netip.AddrPort]*outgoing
}

// NewPool returns a pool that uses the TLS configuration, or plain connections
// if it is nil.
func NewPool(tc *tls.Config) *Pool {
	po := &Pool{
		client: &http.Client{Transport: &http.Transport{TLSClientConfig: tc}},
		scheme: "wss://",
		links:  make(map[netip.AddrPort]*outgoing),
	}
	if tc == nil {
		po.scheme = "ws://"
	}
	return po
}

// outgoing is one open link and the requests that wait for an answer over it.
type outgoing struct {
	peer netip.AddrPort
	conn *websocket.Conn

	mu           sync.Mutex
	lastExchange uint64
	waiting      map[uint64]chan message.Message
	closed       bool
}

// Send sends a one-way message, which gets no answer. An error of the link is
// wrapped with the peer; a nil error doesn't say that the peer received the
// message.
func (po *Pool) Send(ctx context.Context, peer netip.AddrPort, kind message.Kind, body any) error {
	ou, msg, err := po.prepare(ctx, peer, kind, body)
	if err != nil {
		return err
	}
	return po.write(ctx, ou, msg)
}

// Call sends a request, waits for the answer and decodes it into target, unless
// target is nil. If the peer refused the request the error is a *RefusedError.
func (po *Pool) Call(ctx context.Context, peer netip.AddrPort, kind message.Kind, body, target any) error {
	ou, msg, err := po.prepare(ctx, peer, kind, body)
	if err != nil {
		return err
	}
	exchange, answers, ok := ou.startExchange()
	if !ok {
		return errors.Errorf("send request to %s: link closed", peer)
	}
	defer ou.endExchange(exchange)
	msg.Exchange = exchange
	if err := po.write(ctx, ou, msg); err != nil {
		return err
	}
	return await(ctx, peer, answers, target)
}

// prepare returns the open link to the peer and the message with its encoded body.
func (po *Pool) prepare(ctx context.Context, peer netip.AddrPort, kind message.Kind, body any) (*outgoing, message.Message, error) {
	msg, err := message.New(kind, body)
	if err != nil {
		return nil, msg, err
	}
	ou, err := po.link(ctx, peer)
	return ou, msg, err
}

// await waits for the answer of the peer and decodes it.
func await(ctx context.Context, peer netip.AddrPort, answers <-chan message.Message, target any) error {
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for answer of %s", peer)
	case answer, ok := <-answers:
		if !ok {
			return errors.Errorf("wait for answer of %s: link closed", peer)
		}
		if answer.Kind == message.KindFailure {
			re := &RefusedError{Peer: peer}
			if err := answer.Decode(&re.Failure); err != nil {
				return err
			}
			return re
		}
		if target == nil {
			return nil
		}
		return answer.Decode(target)
	}
}

// Close closes all links. A later message opens a new one.
func (po *Pool) Close() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, ou := range po.links {
		ou.conn.CloseNow()
	}
	clear(po.links)
}

// link returns the open link to the peer, or opens one.
func (po *Pool) link(ctx context.Context, peer netip.AddrPort) (*outgoing, error) {
	po.mu.Lock()
	ou, ok := po.links[peer]
	po.mu.Unlock()
	if ok {
		return ou, nil
	}
	co, _, err := websocket.Dial(ctx, po.scheme+peer.String()+Path, &websocket.DialOptions{
		HTTPClient:      po.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "open link to %s", peer)
	}
	co.SetReadLimit(message.MaxLength)
	ou = &outgoing{peer: peer, conn: co, waiting: make(map[uint64]chan message.Message)}
	return po.addLink(ou), nil
}

// addLink adds the link and starts to read from it. If another goroutine has added
// one to the same peer meanwhile, it closes the given link and returns the other.
func (po *Pool) addLink(ou *outgoing) *outgoing {
	po.mu.Lock()
	defer po.mu.Unlock()
	if other, ok := po.links[ou.peer]; ok {
		ou.conn.CloseNow()
		return other
	}
	po.links[ou.peer] = ou
	go po.read(ou)
	return ou
}

// read delivers the answers that the peer sends until the link breaks.
func (po *Pool) read(ou *outgoing) {
	for {
		_, data, err := ou.conn.Read(context.Background())
		if err != nil {
			po.drop(ou)
			return
		}
		msg, err := message.Unmarshal(data)
		if err != nil {
			po.drop(ou)
			return
		}
		ou.deliver(msg)
	}
}

func (po *Pool) write(ctx context.Context, ou *outgoing, msg message.Message) error {
	data, err := message.Marshal(msg)
	if err != nil {
		return err
	}
	if po.OnSent != nil {
		po.OnSent(msg.Kind, len(data))
	}
	if err := ou.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		po.drop(ou)
		return errors.Wrapf(err, "send message to %s", ou.peer)
	}
	return nil
}

// drop closes the link and removes it from the pool.
func (po *Pool) drop(ou *outgoing) {
	po.mu.Lock()
	if po.links[ou.peer] == ou {
		delete(po.links, ou.peer)
	}
	po.mu.Unlock()
	ou.conn.CloseNow()
	ou.close()
}

// startExchange returns the number of a new request and the channel that its
// answer is sent to. It reports false if the link is closed.
func (ou *outgoing) startExchange() (uint64, <-chan message.Message, bool) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.closed {
		return 0, nil, false
	}
	ou.lastExchange++
	answers := make(chan message.Message, 1)
	ou.waiting[ou.lastExchange] = answers
	return ou.lastExchange, answers, true
}

// endExchange forgets a request, so that an answer that arrives later is
// discarded.
func (ou *outgoing) endExchange(exchange uint64) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	delete(ou.waiting, exchange)
}

// deliver passes an answer to the request that waits for it, if any.
func (ou *outgoing) deliver(msg message.Message) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if answers, ok := ou.waiting[msg.Exchange]; ok {
		answers <- msg
		delete(ou.waiting, msg.Exchange)
	}
}

// close ends all requests that wait for an answer.
func (ou *outgoing) close() {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.closed = true
	for exchange, answers := range ou.waiting {
		close(answers)
		delete(ou.waiting, exchange)
	}
}
