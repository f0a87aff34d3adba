package agent

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// fromNetwork takes an enveloped datagram from a balancer or another agent.
func (ag *Agent) fromNetwork(_ *socket.Worker, _ netip.AddrPort, datagram []byte) {
	var en envelope.Envelope
	payload, err := ag.envelopes.Decode(datagram, &en)
	if err != nil || en.Kind != envelope.KindToHost {
		ag.cfg.Board.Count("DatagramsMalformed", 1)
		return
	}
	if en.Service != ag.service {
		ag.cfg.Board.Count("DatagramsWrongService", 1)
		return
	}
	if _, ok := label.Parse(payload); !ok {
		ag.cfg.Board.Count("DatagramsMalformed", 1)
		return
	}
	if !ag.relay.push(en.Caller, route{balancer: en.Balancer, entry: en.Entry}, payload) {
		ag.cfg.Board.Count("DatagramsQueueFull", 1)
		return
	}
	ag.cfg.Board.Count("DatagramsAccepted", 1)
}

// sendToCaller sends an answer by way of a balancer.
func (ag *Agent) sendToCaller(payload []byte, caller netip.AddrPort, ro route) error {
	en := envelope.Envelope{
		Kind:     envelope.KindToCaller,
		Service:  ag.service,
		Entry:    ro.entry,
		Caller:   caller,
		Balancer: ro.balancer,
	}
	buffer := make([]byte, 0, envelope.MaxLength+len(payload))
	datagram, err := ag.envelopes.Append(buffer, &en, payload)
	if err != nil {
		return err
	}
	return ag.socket.Send(datagram, ro.balancer)
}

// labeler makes the connection IDs of the QUIC server.
type labeler struct {
	codec *label.Codec
	place label.Place
	last  atomic.Uint32
}

// GenerateConnectionID returns a connection ID that leads to this agent.
func (la *labeler) GenerateConnectionID() (quic.ConnectionID, error) {
	ra := label.Random{Nonce: uint16(la.last.Add(1))}
	if _, err := rand.Read(ra.Salt[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	id := la.codec.Encode(la.place, ra)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of all connection IDs.
func (la *labeler) ConnectionIDLen() int {
	return label.Length
}

// startNonce returns an unpredictable first nonce.
func startNonce() uint32 {
	var buffer [4]byte
	rand.Read(buffer[:])
	return binary.BigEndian.Uint32(buffer[:])
}
