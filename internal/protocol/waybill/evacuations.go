package waybill

import (
	"encoding/binary"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
)

// evacuationsLength is the length of a KindEvacuations message without the names.
const evacuationsLength = 1 + 8 + 8 + 1 + 1

// AppendEvacuations appends a KindEvacuations message: the origin of the set, the page's
// index, the number of pages, and the names with a byte for the length of each.
func AppendEvacuations(buffer []byte, pa evacuation.Page) []byte {
	buffer = binary.BigEndian.AppendUint64(append(buffer, byte(KindEvacuations)), pa.Origin.Era)
	buffer = binary.BigEndian.AppendUint64(buffer, pa.Origin.Revision)
	buffer = append(buffer, pa.Index, pa.Count)
	for _, name := range pa.Domains {
		buffer = append(append(buffer, byte(len(name))), name...)
	}
	return buffer
}

// DecodeEvacuations returns the page of a KindEvacuations message. The error is
// ErrMalformed also for a page outside of the number of pages, too many pages or names,
// and a name that isn't valid.
func DecodeEvacuations(datagram []byte) (evacuation.Page, error) {
	if len(datagram) < evacuationsLength {
		return evacuation.Page{}, ErrMalformed
	}
	pa := evacuation.Page{
		Origin: evacuation.Origin{
			Era: binary.BigEndian.Uint64(datagram[1:]), Revision: binary.BigEndian.Uint64(datagram[9:]),
		},
		Index: datagram[17], Count: datagram[18],
	}
	if pa.Index >= pa.Count || pa.Count > evacuation.MaxPages {
		return evacuation.Page{}, ErrMalformed
	}
	for rest := datagram[evacuationsLength:]; len(rest) > 0; {
		length := int(rest[0])
		if length >= len(rest) || len(pa.Domains) == evacuation.MaxDomains {
			return evacuation.Page{}, ErrMalformed
		}
		name := string(rest[1 : 1+length])
		if !evacuation.IsValidName(name) {
			return evacuation.Page{}, ErrMalformed
		}
		pa.Domains = append(pa.Domains, name)
		rest = rest[1+length:]
	}
	return pa, nil
}
