package balancer

import (
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

var errNoServiceSocket = errors.New("no open socket for the service address")

// forwarder forwards callers' datagrams to hosts. Each worker has its own; it isn't
// safe for concurrent use.
type forwarder struct {
	balancer *Balancer
	decoder  *label.Decoder
	envelope envelope.Envelope
}

func (ba *Balancer) newForwarder() *forwarder {
	return &forwarder{balancer: ba, decoder: ba.labels.NewDecoder()}
}

// fromFabric handles a caller's datagram in a frame of the fabric.
func (fo *forwarder) fromFabric(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	he, payload, err := frame.Decode(datagram)
	if err != nil {
		fo.balancer.counts.malformed.Inc(1)
		return
	}
	fo.forward(wo, he, payload)
}

// forward sends a caller's datagram to the host that its connection ID names, or
// to the first candidate of its bucket if the packet has a long header with an ID
// that names no host, or if the host is gone.
func (fo *forwarder) forward(wo *socket.Worker, he frame.Header, payload []byte) {
	ba := fo.balancer
	ad := ba.addresses.Load()
	ae, ok := ad.entries[he.Service]
	if !ok {
		ba.counts.unknownService.Inc(1)
		return
	}
	packet, ok := label.Parse(payload)
	if !ok {
		ba.counts.malformed.Inc(1)
		return
	}
	fo.envelope = envelope.Envelope{
		Kind:         envelope.KindToHost,
		AddressIndex: ae.index,
		Version:      uint32(ad.version.Number),
		Balancer:     ba.hostsAddress,
		Header:       route.Header{Service: ae.service, Caller: he.Caller},
	}
	if fo.setChain(packet) {
		fo.send(wo, payload)
	}
}

// setChain sets the envelope's chain to the hosts that may hold the packet's flow.
// It returns false if the packet must be dropped, and counts the reason.
func (fo *forwarder) setChain(packet label.Packet) bool {
	ba, en := fo.balancer, &fo.envelope
	ta := ba.table.Load()
	if target, ok := fo.decoder.Decode(packet.DestinationID); ok {
		if target.Service != en.Service {
			ba.counts.wrongService.Inc(1)
			return false
		}
		if !ta.IsGone(route.Target{Address: target.Host, Incarnation: target.Incarnation}) {
			en.Chain = route.Chain{Count: 1, HolderCount: 1}
			en.Chain.Hosts[0] = route.Candidate{Address: target.Host, Incarnation: uint64(target.Incarnation)}
			return true
		}
		ba.counts.hostGone.Inc(1)
	} else if !packet.LongHeader {
		ba.counts.malformed.Inc(1)
		return false
	}
	en.Chain = ta.Candidates(en.Service, en.Caller)
	if en.Chain.Count == 0 {
		ba.counts.noHost.Inc(1)
		return false
	}
	return true
}

func (fo *forwarder) send(wo *socket.Worker, payload []byte) {
	ba, en := fo.balancer, &fo.envelope
	datagram, err := ba.envelopes.Append(wo.Scratch[:0], en, payload)
	if err != nil {
		ba.counts.malformed.Inc(1)
		return
	}
	if err := wo.Send(datagram, en.Chain.Hosts[0].Address); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.forwarded.Inc(1)
}

// answerForwarder forwards agents' answers to callers. Each worker has its own; it
// isn't safe for concurrent use.
type answerForwarder struct {
	balancer *Balancer
	envelope envelope.Envelope
}

// fromHost sends an agent's answer to the caller.
func (af *answerForwarder) fromHost(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	ba, en := af.balancer, &af.envelope
	payload, err := ba.envelopes.Decode(datagram, en)
	if err != nil || en.Kind != envelope.KindToCaller {
		ba.counts.malformed.Inc(1)
		return
	}
	address, ok := ba.addresses.Load().fromEnvelope(en)
	if !ok {
		ba.counts.unknownService.Inc(1)
		return
	}
	he := frame.Header{Service: address, Caller: en.Caller}
	if err := ba.sendAnswer(wo, he, payload); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.answered.Inc(1)
}

// sendAnswer sends an answer to a caller, by way of the fabric if it uses frames.
func (ba *Balancer) sendAnswer(wo *socket.Worker, he frame.Header, payload []byte) error {
	if ba.usesFrames() {
		return wo.Send(frame.Append(wo.Scratch[:0], he, payload), ba.cfg.Fabric)
	}
	return ba.serviceSockets.send(he, payload)
}
