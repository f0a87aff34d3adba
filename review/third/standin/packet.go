package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagBounced = 1
	flagSyn     = 2
	flagRst     = 4
	flagAck     = 16
	flagFin     = 64
)

// headerSize is the size of a packet's header in bytes.
const headerSize = 36

// flowKey identifies a flow by its two ends.
type flowKey struct {
	client, service netip.AddrPort
}

// String returns the flow as CLIENT>SERVICE.
func (fk flowKey) String() string { return fk.client.String() + ">" + fk.service.String() }

// packet is one packet of a flow.
type packet struct {
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

func (pk *packet) has(flag byte) bool { return pk.flags&flag != 0 }

// encode returns the packet with its sum.
func (pk *packet) encode() []byte {
	out := make([]byte, headerSize, headerSize+len(pk.data))
	out[0] = pk.flags
	binary.LittleEndian.PutUint16(out[6:], uint16(len(pk.data)))
	binary.LittleEndian.PutUint32(out[8:], pk.seq)
	binary.LittleEndian.PutUint32(out[12:], pk.ack)
	putAddr(out[24:], pk.src.Addr())
	binary.LittleEndian.PutUint16(out[28:], pk.dst.Port())
	putAddr(out[30:], pk.dst.Addr())
	binary.LittleEndian.PutUint16(out[34:], pk.src.Port())
	out = append(out, pk.data...)
	binary.LittleEndian.PutUint32(out[16:], sumOf(out))
	return out
}

// sumOf returns the sum over the packet. A sender that doesn't know the key can't compute
// it, and the flag of returned packets, the pad and the echo don't count.
func sumOf(datagram []byte) uint32 {
	covered := append([]byte("key of the stand-ins"), datagram[0]&^flagBounced)
	covered = append(covered, datagram[6:16]...)
	covered = append(covered, datagram[24:]...)
	return max(crc32.ChecksumIEEE(covered), 1)
}

// decode decodes a datagram.
func decode(datagram []byte) (*packet, error) {
	if len(datagram) < headerSize || int(binary.LittleEndian.Uint16(datagram[6:])) != len(datagram)-headerSize {
		return nil, fmt.Errorf("packet of %d bytes is malformed", len(datagram))
	}
	return &packet{
		flags: datagram[0],
		seq:   binary.LittleEndian.Uint32(datagram[8:]),
		ack:   binary.LittleEndian.Uint32(datagram[12:]),
		src:   netip.AddrPortFrom(addrAt(datagram[24:]), binary.LittleEndian.Uint16(datagram[34:])),
		dst:   netip.AddrPortFrom(addrAt(datagram[30:]), binary.LittleEndian.Uint16(datagram[28:])),
		data:  append([]byte(nil), datagram[headerSize:]...),
	}, nil
}

// genuine reports whether a sender that knows the key has written the packet.
func genuine(datagram []byte) bool {
	return binary.LittleEndian.Uint32(datagram[16:]) == sumOf(datagram)
}

func addrAt(data []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{data[3], data[2], data[1], data[0]})
}

func putAddr(data []byte, addr netip.Addr) {
	ip := addr.As4()
	data[0], data[1], data[2], data[3] = ip[3], ip[2], ip[1], ip[0]
}
