package link

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/protocol/message"
)

// maxExchanges bounds the requests of one link that are handled at the same time.
const maxExchanges = 1024

// Server is an http.Handler that accepts links.
type Server struct {
	Mux *Mux
	// OnRefused is called, if set, for each connection or message that was refused
	// and each answer that could not be sent.
	OnRefused func(pe Peer, err error)
}

// ServeHTTP accepts one link and serves it until it closes.
func (se *Server) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	co, err := websocket.Accept(wr, re, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		se.reportRefusal(peerOf(re), errors.Wrapf(err, "accept link from %s", re.RemoteAddr))
		return
	}
	co.SetReadLimit(message.MaxLength)
	defer co.CloseNow()
	se.serve(re.Context(), peerOf(re), co)
}

func peerOf(re *http.Request) Peer {
	pe := Peer{}
	pe.Address, _ = netip.ParseAddrPort(re.RemoteAddr)
	if re.TLS != nil && len(re.TLS.PeerCertificates) > 0 {
		pe.Name = re.TLS.PeerCertificates[0].Subject.CommonName
	}
	return pe
}

// serve reads messages until the connection closes. One-way messages are handled
// in order before the next message is read, requests concurrently.
func (se *Server) serve(ctx context.Context, pe Peer, co *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var pending sync.WaitGroup
	defer pending.Wait()
	slots := make(chan struct{}, maxExchanges)
	for {
		_, data, err := co.Read(ctx)
		if err != nil {
			cancel()
			return
		}
		msg, err := message.Unmarshal(data)
		if err != nil {
			se.reportRefusal(pe, errors.Wrapf(err, "read message from %s", pe.Address))
			cancel()
			return
		}
		if msg.Exchange == 0 {
			se.handleOneWay(ctx, pe, msg)
			continue
		}
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			se.handleRequest(ctx, pe, co, msg)
		})
	}
}

// handleOneWay handles a message that gets no answer.
func (se *Server) handleOneWay(ctx context.Context, pe Peer, msg message.Message) {
	if _, err := se.Mux.dispatch(ctx, pe, msg); err != nil {
		se.reportRefusal(pe, err)
	}
}

// handleRequest handles a request and sends the answer or the failure.
func (se *Server) handleRequest(ctx context.Context, pe Peer, co *websocket.Conn, msg message.Message) {
	answer, err := se.Mux.dispatch(ctx, pe, msg)
	if err != nil {
		se.reportRefusal(pe, err)
		answer, err = message.New(message.KindFailure, message.Failure{Step: "handle message", Reason: err.Error()})
		if err != nil {
			return
		}
	}
	answer.Exchange = msg.Exchange
	data, err := message.Marshal(answer)
	if err != nil {
		se.reportRefusal(pe, err)
		return
	}
	if err := co.Write(ctx, websocket.MessageBinary, data); err != nil && ctx.Err() == nil {
		se.reportRefusal(pe, errors.Wrapf(err, "answer %s", pe.Address))
	}
}

// reportRefusal calls OnRefused and logs the refusal.
func (se *Server) reportRefusal(pe Peer, err error) {
	if se.OnRefused != nil {
		se.OnRefused(pe, err)
	}
	klog.V(1).InfoS("Message refused", "Peer", pe.Address, "Err", err)
}
