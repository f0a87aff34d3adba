// Package socket runs a pool of workers over UDP sockets that share one
// address. The kernel spreads datagrams over the sockets by flow.
//
// # Usage
//
//	so, err := socket.Listen(ctx, address, workers)
//	err = so.Serve(func(wo *socket.Worker, from netip.AddrPort, datagram []byte) { ... })
//	so.Close()
package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// MaxDatagram is the largest datagram that is taken, in bytes.
	MaxDatagram = 2048

	bufferSize = 8 << 20 // bytes of kernel buffer for each socket and direction
)

// Handler takes one datagram. The datagram is valid until the handler returns.
type Handler func(wo *Worker, from netip.AddrPort, datagram []byte)

// Group is a set of UDP sockets on one address.
type Group struct {
	workers []*Worker
}

// Worker is one socket with the buffers of the goroutine that reads it.
type Worker struct {
	conn *net.UDPConn
	// Scratch is free for the handler to build the outgoing datagram in.
	Scratch [MaxDatagram]byte
	input   [MaxDatagram + 1]byte
}

// Listen opens the sockets. Port 0 takes a free port for all of them. An address
// that another process or socket has is refused.
func Listen(ctx context.Context, address netip.AddrPort, workers int) (*Group, error) {
	address, err := reserve(ctx, address)
	if err != nil {
		return nil, err
	}
	so := &Group{}
	lc := net.ListenConfig{Control: reusePort}
	for range max(workers, 1) {
		pc, err := lc.ListenPacket(ctx, "udp", address.String())
		if err != nil {
			so.Close()
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		conn := pc.(*net.UDPConn)
		// The kernel caps the sizes by itself; a smaller buffer is no failure.
		_ = conn.SetReadBuffer(bufferSize)
		_ = conn.SetWriteBuffer(bufferSize)
		so.workers = append(so.workers, &Worker{conn: conn})
	}
	return so, nil
}

// reserve returns the address with a port that nobody has. Sockets that share
// their port would take that of other such sockets without an error, so the
// address is first bound alone.
func reserve(ctx context.Context, address netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return address, errors.Wrapf(err, "listen on %s", address)
	}
	defer pc.Close()
	return unmap(pc.LocalAddr().(*net.UDPAddr).AddrPort()), nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failure
}

// Address returns the address of the sockets.
func (so *Group) Address() netip.AddrPort {
	return unmap(so.workers[0].conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Serve hands every datagram to the handler until the sockets are closed.
func (so *Group) Serve(ha Handler) error {
	return so.ServePerWorker(func() Handler { return ha })
}

// ServePerWorker is like Serve with a handler of its own for each worker, which may
// hold buffers that the worker alone uses.
func (so *Group) ServePerWorker(create func() Handler) error {
	var eg errgroup.Group
	for _, wo := range so.workers {
		ha := create()
		eg.Go(func() error { return wo.serve(ha) })
	}
	return eg.Wait()
}

func (wo *Worker) serve(ha Handler) error {
	for {
		length, from, err := wo.conn.ReadFromUDPAddrPort(wo.input[:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		ha(wo, unmap(from), wo.input[:length])
	}
}

// Send sends a datagram from the worker's socket.
func (wo *Worker) Send(datagram []byte, to netip.AddrPort) error {
	_, err := wo.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Send sends a datagram from the first socket. It is safe for concurrent use.
func (so *Group) Send(datagram []byte, to netip.AddrPort) error {
	return so.workers[0].Send(datagram, to)
}

// Close closes the sockets.
func (so *Group) Close() {
	for _, wo := range so.workers {
		wo.conn.Close()
	}
}

func unmap(ad netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(ad.Addr().Unmap(), ad.Port())
}
