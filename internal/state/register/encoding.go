package register

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxDomainLength is the longest accepted failure domain name in bytes.
const MaxDomainLength = 64

// ErrInvalidRecord is returned for a record that lacks an address, has an unknown
// state, or exceeds MaxServiceID or MaxDomainLength.
var ErrInvalidRecord = errors.New("invalid record")

// hostRecord is the encoded form of a Host: a CBOR array without field names.
type hostRecord struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
	Address     netip.AddrPort
	Control     netip.AddrPort
	Service     ServiceID
	Domain      string
	State       State
	Weight      uint16
	Load        uint16
}

// balancerRecord is the encoded form of a Balancer: a CBOR array without field
// names.
type balancerRecord struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
	Address     netip.AddrPort
	Control     netip.AddrPort
	Domain      string
	State       State
	Term        uint64
	Version     uint64
}

// EncodeHost returns the record as a CBOR array (RFC 8949).
func EncodeHost(ho Host) ([]byte, error) {
	body, err := cbor.Marshal(hostRecord{
		Incarnation: ho.Incarnation,
		Sequence:    ho.Sequence,
		Address:     ho.Address,
		Control:     ho.Control,
		Service:     ho.Service,
		Domain:      ho.Domain,
		State:       ho.State,
		Weight:      ho.Weight,
		Load:        ho.Load,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode host record")
	}
	return body, nil
}

// DecodeHost parses and validates what EncodeHost returned. The error wraps
// ErrInvalidRecord for a record without an address or with values out of range.
func DecodeHost(body []byte) (Host, error) {
	var rec hostRecord
	if err := cbor.Unmarshal(body, &rec); err != nil {
		return Host{}, errors.Wrap(err, "decode host record")
	}
	ho := Host{
		Revision: Revision{Incarnation: rec.Incarnation, Sequence: rec.Sequence},
		Address:  rec.Address,
		Control:  rec.Control,
		Service:  rec.Service,
		Domain:   rec.Domain,
		State:    rec.State,
		Weight:   rec.Weight,
		Load:     rec.Load,
	}
	if ho.Service > MaxServiceID || !validFields(ho.Address, ho.Domain, ho.State) {
		return Host{}, errors.Wrapf(ErrInvalidRecord, "host %s", ho.Address)
	}
	return ho, nil
}

// EncodeBalancer returns the record as a CBOR array (RFC 8949).
func EncodeBalancer(ba Balancer) ([]byte, error) {
	body, err := cbor.Marshal(balancerRecord{
		Incarnation: ba.Incarnation,
		Sequence:    ba.Sequence,
		Address:     ba.Address,
		Control:     ba.Control,
		Domain:      ba.Domain,
		State:       ba.State,
		Term:        ba.Term,
		Version:     ba.Version,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode balancer record")
	}
	return body, nil
}

// DecodeBalancer parses and validates what EncodeBalancer returned. The error wraps
// ErrInvalidRecord for a record without an address or with values out of range.
func DecodeBalancer(body []byte) (Balancer, error) {
	var rec balancerRecord
	if err := cbor.Unmarshal(body, &rec); err != nil {
		return Balancer{}, errors.Wrap(err, "decode balancer record")
	}
	ba := Balancer{
		Revision: Revision{Incarnation: rec.Incarnation, Sequence: rec.Sequence},
		Address:  rec.Address,
		Control:  rec.Control,
		Domain:   rec.Domain,
		State:    rec.State,
		Term:     rec.Term,
		Version:  rec.Version,
	}
	if !validFields(ba.Address, ba.Domain, ba.State) {
		return Balancer{}, errors.Wrapf(ErrInvalidRecord, "balancer %s", ba.Address)
	}
	return ba, nil
}

// validFields reports whether the address is set, the state is known and the
// domain is not too long.
func validFields(address netip.AddrPort, domain string, st State) bool {
	return address.IsValid() && len(domain) <= MaxDomainLength &&
		st >= StateWarming && st <= StateGone
}
