package main

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags byte of a packet.
const (
	flagBounced = 1
	flagSyn     = 2
	flagReset   = 4
	flagAck     = 16
	flagFin     = 64
)

const (
	headerLength = 36
	// maxData is the maximum number of data bytes in one packet.
	maxData = 1200
)

// sumKey keys the sum of a packet. The system under test doesn't know it.
var sumKey = []byte("stand-in key")

var errMalformed = errors.New("malformed packet")

// flowKey identifies a flow by the addresses of its client and of its route.
type flowKey struct {
	client, route netip.AddrPort
}

// packet is one packet of a flow.
type packet struct {
	flowKey
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the datagram of the packet. Packets of hosts have the route as source.
func (p packet) encode(fromHost bool) []byte {
	src, dst := p.client, p.route
	if fromHost {
		src, dst = p.route, p.client
	}
	b := make([]byte, headerLength+len(p.data))
	b[0] = p.flags
	le := binary.LittleEndian
	le.PutUint16(b[6:], uint16(len(p.data)))
	le.PutUint32(b[8:], p.seq)
	le.PutUint32(b[12:], p.ack)
	putAddr(b[24:], src.Addr())
	le.PutUint16(b[28:], dst.Port())
	putAddr(b[30:], dst.Addr())
	le.PutUint16(b[34:], src.Port())
	copy(b[headerLength:], p.data)
	le.PutUint32(b[16:], sumOf(b))
	return b
}

// decode reads a datagram of a client, or of a host or the system if fromHost is set.
func decode(b []byte, fromHost bool) (packet, error) {
	le := binary.LittleEndian
	if len(b) < headerLength || int(le.Uint16(b[6:])) != len(b)-headerLength {
		return packet{}, errMalformed
	}
	src := netip.AddrPortFrom(addrAt(b[24:]), le.Uint16(b[34:]))
	dst := netip.AddrPortFrom(addrAt(b[30:]), le.Uint16(b[28:]))
	key := flowKey{client: src, route: dst}
	if fromHost {
		key = flowKey{client: dst, route: src}
	}
	return packet{
		flowKey: key, flags: b[0], seq: le.Uint32(b[8:]), ack: le.Uint32(b[12:]), sum: le.Uint32(b[16:]),
		data: append([]byte(nil), b[headerLength:]...),
	}, nil
}

// intact reports whether the sum matches the datagram.
func intact(b []byte) bool { return binary.LittleEndian.Uint32(b[16:]) == sumOf(b) }

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= flagBounced
	clear(c[1:6])
	clear(c[16:24])
	return crc32.ChecksumIEEE(append(c, sumKey...)) | 1
}

func putAddr(b []byte, a netip.Addr) {
	ip := a.As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
}

func addrAt(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }
