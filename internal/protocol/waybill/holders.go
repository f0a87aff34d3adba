package waybill

import (
	"encoding/binary"
	"net/netip"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
)

// The lengths of the parts of messages about several flows in bytes: the kind, the number
// and the count, and then an IPv4 flow and its acknowledged number for each question.
const (
	holdersHeaderLength = 1 + 4 + 1
	questionLength      = 2*(4+2) + 4
)

// AppendFindHolders appends a KindFindHolders message with the number and at most
// carriage.MaxQuestions questions. Their flows are between IPv4 addresses.
func AppendFindHolders(buffer []byte, number uint32, list []carriage.Question) []byte {
	buffer = binary.BigEndian.AppendUint32(append(buffer, byte(KindFindHolders)), number)
	buffer = append(buffer, byte(len(list)))
	for _, qu := range list {
		buffer = appendIPv4(appendIPv4(buffer, qu.Flow.Caller), qu.Flow.Service)
		buffer = binary.BigEndian.AppendUint32(buffer, qu.Acknowledged)
	}
	return buffer
}

// DecodeFindHolders returns the number and the questions of a KindFindHolders message.
func DecodeFindHolders(datagram []byte) (uint32, []carriage.Question, error) {
	number, rest, err := decodeHoldersHeader(datagram, questionLength)
	if err != nil {
		return 0, nil, err
	}
	list := make([]carriage.Question, 0, len(rest)/questionLength)
	for ; len(rest) > 0; rest = rest[questionLength:] {
		list = append(list, carriage.Question{
			Flow:         carriage.Flow{Caller: decodeIPv4(rest), Service: decodeIPv4(rest[6:])},
			Acknowledged: binary.BigEndian.Uint32(rest[12:]),
		})
	}
	return number, list, nil
}

// AppendHolders appends a KindHolders message: the answers to the questions with the
// number, in their order.
func AppendHolders(buffer []byte, number uint32, answers []absence.Answer) []byte {
	buffer = binary.BigEndian.AppendUint32(append(buffer, byte(KindHolders)), number)
	buffer = append(buffer, byte(len(answers)))
	for _, an := range answers {
		buffer = append(buffer, byte(an))
	}
	return buffer
}

// DecodeHolders returns the number and the answers of a KindHolders message.
func DecodeHolders(datagram []byte) (uint32, []absence.Answer, error) {
	number, rest, err := decodeHoldersHeader(datagram, 1)
	if err != nil {
		return 0, nil, err
	}
	answers := make([]absence.Answer, len(rest))
	for i, code := range rest {
		answers[i] = absence.ParseAnswer(code)
	}
	return number, answers, nil
}

// decodeHoldersHeader returns the number and the items of a message about several flows.
// Each item has the given length; what follows the last one is ignored.
func decodeHoldersHeader(datagram []byte, length int) (uint32, []byte, error) {
	if len(datagram) < holdersHeaderLength {
		return 0, nil, ErrMalformed
	}
	count := int(datagram[holdersHeaderLength-1])
	rest := datagram[holdersHeaderLength:]
	if count == 0 || count > carriage.MaxQuestions || len(rest) < count*length {
		return 0, nil, ErrMalformed
	}
	return binary.BigEndian.Uint32(datagram[1:]), rest[:count*length], nil
}

// appendIPv4 appends an IPv4 address and the port.
func appendIPv4(buffer []byte, address netip.AddrPort) []byte {
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(append(buffer, ip[:]...), address.Port())
}

func decodeIPv4(data []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[:4])), binary.BigEndian.Uint16(data[4:]))
}
