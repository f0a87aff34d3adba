package carrier

import (
	"encoding/binary"
	"net"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxWait bounds how long a datagram is taken to have waited in the socket. A longer time
// means that the machine's clock was set.
const maxWait = 10 * time.Second

// controlBytes is the size of the buffer for the arrival time of a datagram.
var controlBytes = unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{})))

// requestArrivalTimes makes the kernel note when each datagram arrives. A process that was
// frozen finds datagrams that have waited for seconds. A failure is ignored: datagrams then
// count as having just arrived.
func requestArrivalTimes(conn *net.UDPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
}

// waitOf returns how long a datagram has waited in the socket, zero if its control data
// have no arrival time.
func waitOf(now time.Time, control []byte) time.Duration {
	if len(control) < controlBytes {
		return 0
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS || len(data) < 16 {
		return 0
	}
	arrived := time.Unix(int64(binary.NativeEndian.Uint64(data)), int64(binary.NativeEndian.Uint64(data[8:])))
	wait := now.Sub(arrived)
	if wait < 0 || wait > maxWait {
		return 0
	}
	return wait
}
