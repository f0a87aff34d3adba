package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags of a packet.
const (
	flagBounced = 1
	flagSYN     = 2
	flagRST     = 4
	flagACK     = 16
	flagFIN     = 64
)

// headBytes is the size of a packet's header, maxData the most data behind it.
const (
	headBytes = 36
	maxData   = 1200
)

// packet is a packet of a flow as the users' pages define it.
type packet struct {
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

// encode returns the datagram. The sum is keyed, as the pages say, and the key is not
// disclosed to the system.
func (pa packet) encode() []byte {
	out := make([]byte, headBytes, headBytes+len(pa.data))
	out[0] = pa.flags
	binary.LittleEndian.PutUint16(out[6:], uint16(len(pa.data)))
	binary.LittleEndian.PutUint32(out[8:], pa.seq)
	binary.LittleEndian.PutUint32(out[12:], pa.ack)
	putAddress(out[24:], pa.src.Addr())
	binary.LittleEndian.PutUint16(out[28:], pa.dst.Port())
	putAddress(out[30:], pa.dst.Addr())
	binary.LittleEndian.PutUint16(out[34:], pa.src.Port())
	out = append(out, pa.data...)
	binary.LittleEndian.PutUint32(out[16:], sumOf(out))
	return out
}

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(datagram []byte) uint32 {
	ha := fnv.New32a()
	_, _ = ha.Write([]byte("key"))
	_, _ = ha.Write([]byte{datagram[0] &^ flagBounced})
	_, _ = ha.Write(datagram[6:16])
	_, _ = ha.Write(datagram[24:])
	return ha.Sum32()
}

// decode reads a datagram. Valid says that an end wrote it, by its sum.
func decode(datagram []byte) (pa packet, valid bool) {
	if len(datagram) < headBytes || int(binary.LittleEndian.Uint16(datagram[6:])) != len(datagram)-headBytes {
		return packet{}, false
	}
	pa = packet{
		flags: datagram[0],
		seq:   binary.LittleEndian.Uint32(datagram[8:]),
		ack:   binary.LittleEndian.Uint32(datagram[12:]),
		src:   netip.AddrPortFrom(getAddress(datagram[24:]), binary.LittleEndian.Uint16(datagram[34:])),
		dst:   netip.AddrPortFrom(getAddress(datagram[30:]), binary.LittleEndian.Uint16(datagram[28:])),
		data:  append([]byte(nil), datagram[headBytes:]...),
	}
	return pa, binary.LittleEndian.Uint32(datagram[16:]) == sumOf(datagram)
}

func putAddress(to []byte, address netip.Addr) {
	ip := address.As4()
	to[0], to[1], to[2], to[3] = ip[3], ip[2], ip[1], ip[0]
}

func getAddress(from []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{from[3], from[2], from[1], from[0]})
}

func (pa packet) String() string {
	return fmt.Sprintf("flags=%d %s>%s seq=%d ack=%d len=%d", pa.flags, pa.src, pa.dst, pa.seq, pa.ack, len(pa.data))
}
