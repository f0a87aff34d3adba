package agent

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// receiver handles the datagrams of balancers and other agents. Each worker has its
// own; it isn't safe for concurrent use.
type receiver struct {
	agent    *Agent
	decoder  *label.Decoder
	envelope envelope.Envelope
}

func (ag *Agent) newReceiver() *receiver {
	return &receiver{agent: ag, decoder: ag.labels.NewDecoder()}
}

// fromNetwork handles a datagram in an envelope from a balancer or another agent.
func (rc *receiver) fromNetwork(wo *socket.Worker, from netip.AddrPort, datagram []byte) {
	ag, en := rc.agent, &rc.envelope
	payload, err := ag.envelopes.Decode(datagram, en)
	if err != nil || en.Kind != envelope.KindToHost {
		ag.counts.malformed.Inc(1)
		return
	}
	packet, ok := label.Parse(payload)
	if !ok {
		ag.counts.malformed.Inc(1)
		return
	}
	pk := route.Packet{Header: en.Header, Sender: from, ID: packet.DestinationID}
	if target, ok := rc.decoder.Decode(packet.DestinationID); ok {
		pk.Routable = true
		pk.Target = route.Target{Address: target.Host, Incarnation: target.Incarnation}
		if target.Service != ag.service {
			ag.counts.dropped[route.ReasonWrongService].Inc(1)
			return
		}
	} else if !packet.LongHeader {
		ag.counts.malformed.Inc(1)
		return
	}
	rc.carryOut(wo, ag.decide(pk), payload)
}

// decide returns what to do with a packet. A packet whose connection ID names this
// host or a host that is gone is accepted; about all others the flow table decides.
// The QUIC server answers packets of a host that is gone or of a former incarnation
// of this one with a stateless reset, which ends the flow.
func (ag *Agent) decide(pk route.Packet) route.Decision {
	if pk.Routable && pk.Service == ag.service {
		if pk.Target.Address == ag.DatagramsAddress() {
			return route.Decision{Action: route.ActionAccept}
		}
		if ag.table.Load().IsGone(pk.Target) {
			ag.counts.hostGone.Inc(1)
			return route.Decision{Action: route.ActionAccept}
		}
	}
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	return ag.flows.Decide(time.Now(), pk)
}

// updateHosts passes the known members to the follower and the handler, and the
// changed hosts to the table and the flow table.
func (ag *Agent) updateHosts() {
	ag.viewMu.Lock()
	defer ag.viewMu.Unlock()
	ag.follower.SetMembers(ag.members())
	hosts := ag.fleet.TakeChangedHosts()
	ag.table.Store(ag.table.Load().Advance(time.Now(), hosts))
	record := ag.fleet.Record()
	if record.Incarnation != ag.incarnation {
		ag.setIncarnation(record)
	}
	ag.handler.SetHosts(ag.fleet.Hosts())
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	ag.flows.UpdateSelf(record)
	for _, ho := range hosts {
		ag.flows.UpdatePeer(ho)
	}
}

// carryOut carries out a decision about the packet in the receiver's envelope.
func (rc *receiver) carryOut(wo *socket.Worker, de route.Decision, payload []byte) {
	ag, en := rc.agent, &rc.envelope
	switch de.Action {
	case route.ActionAccept, route.ActionOpen:
		if !ag.packetConn.enqueue(en.Caller, returnRoute{balancer: en.Balancer, addressIndex: en.AddressIndex}, payload) {
			ag.counts.queueFull.Inc(1)
			return
		}
		ag.counts.accepted.Inc(1)
	case route.ActionForward:
		en.Header = de.Header
		datagram, err := ag.envelopes.Append(wo.Scratch[:0], en, payload)
		if err != nil || wo.Send(datagram, de.To) != nil {
			ag.counts.sendFailed.Inc(1)
			return
		}
		ag.counts.forwarded.Inc(1)
	default:
		ag.counts.dropped[de.Reason].Inc(1)
	}
}

// sendToCaller sends an answer to a caller through the route's balancer.
func (ag *Agent) sendToCaller(payload []byte, caller netip.AddrPort, rr returnRoute) error {
	en := envelope.Envelope{
		Kind:         envelope.KindToCaller,
		AddressIndex: rr.addressIndex,
		Balancer:     rr.balancer,
		Header:       route.Header{Service: ag.service, Caller: caller},
	}
	buffer := make([]byte, 0, envelope.MaxLength+len(payload))
	datagram, err := ag.envelopes.Append(buffer, &en, payload)
	if err != nil {
		return err
	}
	return ag.socket.Send(datagram, rr.balancer)
}

// idGenerator generates the connection IDs of the QUIC server.
type idGenerator struct {
	codec  *label.Codec
	target atomic.Pointer[label.Target]
	nonce  atomic.Uint32
}

// GenerateConnectionID returns a new connection ID that names this host.
func (ig *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	ra := label.Random{Nonce: uint16(ig.nonce.Add(1))}
	if _, err := rand.Read(ra.Salt[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	id := ig.codec.Encode(*ig.target.Load(), ra)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of all connection IDs in bytes.
func (ig *idGenerator) ConnectionIDLen() int {
	return label.Length
}

// startNonce returns an unpredictable first nonce.
func startNonce() uint32 {
	var buffer [4]byte
	rand.Read(buffer[:])
	return binary.BigEndian.Uint32(buffer[:])
}
