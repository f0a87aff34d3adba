// Package ticket encodes the tickets of unrepeatable requests for a header.
//
// A token is the unpadded URL-safe base64 of a fixed layout: version, service,
// incarnation, sequence, expiry in milliseconds of Unix time, host address and
// port, and a 128-bit SipHash-2-4 tag over all of it. The key is shared by the
// agents of a deployment, so any of them can tell where to relay a repeat.
//
// # Usage
//
//	se := ticket.NewSealer(key)
//	token := se.Seal(issued)
//	ti, err := se.Open(token)
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

// Header is the field that carries a ticket in both directions.
const Header = "Corneltiller-Ticket"

// The layout of a token in bytes.
const (
	version    = 1
	bodySize   = 1 + 4 + 8 + 8 + 8 + 16 + 2
	tagSize    = 16
	tokenSize  = bodySize + tagSize
	addrOffset = 29
)

// KeySize is the size of a sealing key in bytes.
const KeySize = 16

// The errors of Open.
var (
	// ErrMalformed means that the token does not have the layout of a ticket.
	ErrMalformed = errors.New("malformed ticket")
	// ErrForged means that the tag does not match.
	ErrForged = errors.New("ticket with a wrong tag")
)

// Codec encodes and checks tokens under one key.
type Codec struct {
	k0, k1 uint64
}

// NewCodec returns a sealer for the key.
func NewCodec(key [KeySize]byte) Codec {
	return Codec{
		k0: binary.LittleEndian.Uint64(key[:8]),
		k1: binary.LittleEndian.Uint64(key[8:]),
	}
}

// Encode returns the token of the ticket.
func (se Codec) Encode(ti ledger.Ticket) string {
	raw := make([]byte, 0, tokenSize)
	raw = append(raw, version)
	raw = binary.BigEndian.AppendUint32(raw, uint32(ti.Service))
	raw = binary.BigEndian.AppendUint64(raw, ti.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, ti.Sequence)
	raw = binary.BigEndian.AppendUint64(raw, uint64(ti.Expiry.UnixMilli()))
	addr := ti.Host.Addr().As16()
	raw = append(raw, addr[:]...)
	raw = binary.BigEndian.AppendUint16(raw, ti.Host.Port())
	tag := se.tag(raw)
	return base64.RawURLEncoding.EncodeToString(append(raw, tag[:]...))
}

// Decode returns the ticket of the token. Errors are ErrMalformed and ErrForged.
func (se Codec) Decode(token string) (ledger.Ticket, error) {
	if base64.RawURLEncoding.DecodedLen(len(token)) != tokenSize {
		return ledger.Ticket{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) != tokenSize || raw[0] != version {
		return ledger.Ticket{}, ErrMalformed
	}
	tag := se.tag(raw[:bodySize])
	if subtle.ConstantTimeCompare(tag[:], raw[bodySize:]) != 1 {
		return ledger.Ticket{}, ErrForged
	}
	return parse(raw[:bodySize])
}

// parse decodes the body of a token whose tag matched.
func parse(raw []byte) (ledger.Ticket, error) {
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

// tag returns the keyed hash of the body.
func (se Codec) tag(raw []byte) [tagSize]byte {
	lo, hi := siphash.Hash128(se.k0, se.k1, raw)
	var tag [tagSize]byte
	binary.LittleEndian.PutUint64(tag[:8], lo)
	binary.LittleEndian.PutUint64(tag[8:], hi)
	return tag
}
