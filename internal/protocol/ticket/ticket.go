// Package ticket encodes the tickets of unrepeatable requests as tokens for an
// HTTP header field.
//
// A token is the unpadded URL-safe base64 of a fixed layout: format version,
// service, incarnation, sequence, expiry in milliseconds of Unix time, host
// address and port, and a 128-bit SipHash-2-4 tag over all of it. The content is
// authenticated, not encrypted. The agents of a deployment share the key, so that
// any of them can tell to which agent a repeated request is to be relayed.
//
// # Usage
//
//	co := ticket.NewCodec(key)
//	token := co.Encode(issued)
//	ti, err := co.Decode(token)
package ticket

import (
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Header is the name of the HTTP header field that carries a ticket in requests
// and answers.
const Header = "Corneltiller-Ticket"

// The format version and the layout of a token before base64, in bytes.
const (
	version    = 1
	bodySize   = 1 + 4 + 8 + 8 + 8 + 16 + 2
	tagSize    = 16
	tokenSize  = bodySize + tagSize
	addrOffset = 29
)

// KeySize is the size of the authentication key in bytes.
const KeySize = 16

// The errors of Decode.
var (
	// ErrMalformed means that the token does not have the layout of a ticket or
	// that a value in it is out of range.
	ErrMalformed = errors.New("malformed ticket")
	// ErrForged means that the authentication tag does not match.
	ErrForged = errors.New("ticket has a wrong authentication tag")
)

// Codec encodes tickets as tokens and verifies tokens with one key.
type Codec struct {
	k0, k1 uint64
}

// NewCodec returns a codec that uses the key.
func NewCodec(key [KeySize]byte) Codec {
	return Codec{
		k0: binary.LittleEndian.Uint64(key[:8]),
		k1: binary.LittleEndian.Uint64(key[8:]),
	}
}

// Encode returns the token of the ticket.
func (co Codec) Encode(ti ledger.Ticket) string {
	raw := make([]byte, 0, tokenSize)
	raw = append(raw, version)
	raw = binary.BigEndian.AppendUint32(raw, uint32(ti.Service))
	raw = binary.BigEndian.AppendUint64(raw, ti.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, ti.Sequence)
	raw = binary.BigEndian.AppendUint64(raw, uint64(ti.Expiry.UnixMilli()))
	addr := ti.Host.Addr().As16()
	raw = append(raw, addr[:]...)
	raw = binary.BigEndian.AppendUint16(raw, ti.Host.Port())
	tag := co.tag(raw)
	return base64.RawURLEncoding.EncodeToString(append(raw, tag[:]...))
}

// Decode verifies the token and returns its ticket. Errors are ErrMalformed and
// ErrForged.
func (co Codec) Decode(token string) (ledger.Ticket, error) {
	if base64.RawURLEncoding.DecodedLen(len(token)) != tokenSize {
		return ledger.Ticket{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) != tokenSize || raw[0] != version {
		return ledger.Ticket{}, ErrMalformed
	}
	tag := co.tag(raw[:bodySize])
	if subtle.ConstantTimeCompare(tag[:], raw[bodySize:]) != 1 {
		return ledger.Ticket{}, ErrForged
	}
	return decodeBody(raw[:bodySize])
}

// decodeBody decodes the body of a token whose authentication tag matched.
func decodeBody(raw []byte) (ledger.Ticket, error) {
	service := register.ServiceID(binary.BigEndian.Uint32(raw[1:]))
	sequence := binary.BigEndian.Uint64(raw[13:])
	if service > register.MaxServiceID || sequence == 0 {
		return ledger.Ticket{}, ErrMalformed
	}
	addr := netip.AddrFrom16([16]byte(raw[addrOffset : addrOffset+16])).Unmap()
	return ledger.Ticket{
		Home: ledger.Home{
			Host:        netip.AddrPortFrom(addr, binary.BigEndian.Uint16(raw[addrOffset+16:])),
			Incarnation: binary.BigEndian.Uint64(raw[5:]),
		},
		Service:  service,
		Sequence: sequence,
		Expiry:   time.UnixMilli(int64(binary.BigEndian.Uint64(raw[21:]))),
	}, nil
}

// tag returns the keyed SipHash of a token's body.
func (co Codec) tag(raw []byte) [tagSize]byte {
	lo, hi := siphash.Hash128(co.k0, co.k1, raw)
	var tag [tagSize]byte
	binary.LittleEndian.PutUint64(tag[:8], lo)
	binary.LittleEndian.PutUint64(tag[8:], hi)
	return tag
}
