package label

// The layout of QUIC packets that is the same in all versions (RFC 8999) and the
// fixed bit of QUIC version 1 (RFC 9000, section 17).
const (
	longHeaderBit     = 0x80
	fixedBit          = 0x40
	longHeaderMinimum = 7
	destinationOffset = 6
	maxIDLength       = 20
)

// Packet holds the fields of a QUIC packet that routing depends on.
type Packet struct {
	// LongHeader is set for a packet with a long header, which only packets that
	// are sent while a connection is being established have.
	LongHeader bool
	// DestinationID is the destination connection ID, a part of the datagram.
	DestinationID []byte
}

// Parse reads the destination connection ID of the first QUIC packet of a
// datagram (RFC 8999, section 5). A short header doesn't give the ID's length; the
// ID is taken to have Length bytes. Parse returns false if the datagram doesn't
// begin with a QUIC packet or ends before the end of the ID.
func Parse(datagram []byte) (Packet, bool) {
	if len(datagram) == 0 {
		return Packet{}, false
	}
	if datagram[0]&longHeaderBit == 0 {
		return parseShort(datagram)
	}
	if len(datagram) < longHeaderMinimum {
		return Packet{}, false
	}
	length := int(datagram[destinationOffset-1])
	if length > maxIDLength || len(datagram) < destinationOffset+length {
		return Packet{}, false
	}
	return Packet{LongHeader: true, DestinationID: datagram[destinationOffset : destinationOffset+length]}, true
}

func parseShort(datagram []byte) (Packet, bool) {
	if datagram[0]&fixedBit == 0 || len(datagram) < 1+Length {
		return Packet{}, false
	}
	return Packet{DestinationID: datagram[1 : 1+Length]}, true
}
