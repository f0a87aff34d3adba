// Package frame encodes the header that a network fabric puts before a caller's
// datagram when it can't deliver the datagram to a balancer with the caller's
// source address.
//
// # Usage
//
//	datagram = frame.Append(buffer[:0], frame.Header{Service: address, Caller: caller}, payload)
//	he, payload, err := frame.Decode(datagram)
package frame

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
)

// Length is the length of the encoded header in bytes.
const Length = 1 + 2*addressLength

const (
	formatVersion = 0xC1
	addressLength = 18
)

// ErrMalformed means that a datagram doesn't begin with a header.
var ErrMalformed = errors.New("frame is malformed")

// Header holds the two addresses of a caller's datagram.
type Header struct {
	// Service is the service's address, to which the caller sent the datagram.
	Service netip.AddrPort
	// Caller is the caller's address.
	Caller netip.AddrPort
}

// Append appends the header and the payload to dst.
func Append(dst []byte, he Header, payload []byte) []byte {
	dst = append(dst, formatVersion)
	dst = appendAddress(dst, he.Service)
	dst = appendAddress(dst, he.Caller)
	return append(dst, payload...)
}

// Decode returns the header and the payload, which is a part of the datagram.
func Decode(datagram []byte) (Header, []byte, error) {
	if len(datagram) < Length || datagram[0] != formatVersion {
		return Header{}, nil, ErrMalformed
	}
	he := Header{
		Service: readAddress(datagram[1:]),
		Caller:  readAddress(datagram[1+addressLength:]),
	}
	return he, datagram[Length:], nil
}

func appendAddress(dst []byte, ad netip.AddrPort) []byte {
	ip := ad.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, ad.Port())
}

func readAddress(src []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(src[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(src[16:addressLength]))
}
