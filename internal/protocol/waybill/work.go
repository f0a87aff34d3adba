package waybill

import (
	"encoding/binary"
	"math"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/workload"
)

const (
	// workLength is the length of the encoded remaining work in bytes.
	workLength = 3*4 + 2
	// workUnit is the unit of its times. 32 bits hold more than the hour up to which
	// they are valid.
	workUnit = time.Microsecond
	// advantageUnit is the number of units in which a message counts an advantage of 1.
	advantageUnit = 256
)

// appendLoad appends the expected load and, if the report has it, the remaining work.
// Processes of former builds ignore what follows the expected load.
func appendLoad(buffer []byte, re carriage.Report) []byte {
	buffer = appendExpected(buffer, re)
	if !re.Work.Valid() {
		return buffer
	}
	for _, du := range [...]time.Duration{re.Work.Remaining, re.Work.MeanCost, re.Work.RouteCost} {
		// A time above zero stays above zero: a mean cost of zero means that it is unknown.
		buffer = binary.BigEndian.AppendUint32(buffer, uint32((du+workUnit-1)/workUnit))
	}
	units := min(max(re.Work.Advantage*advantageUnit, math.MinInt16), math.MaxInt16)
	return binary.BigEndian.AppendUint16(buffer, uint16(int16(units)))
}

// decodeLoad sets the expected load and the remaining work from the end of a message.
// Remaining work that is missing or absurd is left out.
func decodeLoad(re *carriage.Report, rest []byte) {
	decodeExpected(re, rest)
	if len(rest) < 2+workLength {
		return
	}
	rest = rest[2:]
	at := func(offset int) time.Duration {
		return time.Duration(binary.BigEndian.Uint32(rest[offset:])) * workUnit
	}
	work := workload.Figures{
		Remaining: at(0), MeanCost: at(4), RouteCost: at(8),
		Advantage: float64(int16(binary.BigEndian.Uint16(rest[12:]))) / advantageUnit,
	}
	if work.Valid() {
		re.Work = work
	}
}
