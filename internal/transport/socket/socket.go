// Package socket receives and sends UDP datagrams with a group of workers whose
// sockets share one address (SO_REUSEPORT). The kernel distributes datagrams over
// the sockets by a hash of their addresses, so that one worker receives all
// datagrams of a flow.
//
// # Usage
//
//	gr, err := socket.Listen(ctx, address, workers)
//	err = gr.Serve(func(wo *socket.Worker, from netip.AddrPort, datagram []byte) { ... })
//	gr.Close()
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
	// MaxDatagram is the size in bytes of the largest datagram that a Handler gets
	// whole. It gets a larger one truncated to MaxDatagram+1 bytes, and so can tell
	// that it was too large.
	MaxDatagram = 2048

	bufferSize = 8 << 20 // bytes of kernel buffer for each socket and direction
)

// Handler handles one datagram. The datagram is valid until the handler returns.
type Handler func(wo *Worker, from netip.AddrPort, datagram []byte)

// Group is a set of UDP sockets with the same address.
type Group struct {
	workers []*Worker
}

// Worker is one socket and the buffers of the goroutine that reads from it.
type Worker struct {
	conn *net.UDPConn
	// Scratch is a buffer in which the handler may build the outgoing datagram.
	Scratch [MaxDatagram]byte
	input   [MaxDatagram + 1]byte
}

// Listen opens one socket for each worker, at least one. Port 0 chooses a free
// port for all of them. An address that is in use by another process or group is
// refused. An error is wrapped with the address.
func Listen(ctx context.Context, address netip.AddrPort, workers int) (*Group, error) {
	address, err := reserve(ctx, address)
	if err != nil {
		return nil, err
	}
	gr := &Group{}
	lc := net.ListenConfig{Control: reusePort}
	for range max(workers, 1) {
		pc, err := lc.ListenPacket(ctx, "udp", address.String())
		if err != nil {
			gr.Close()
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		conn := pc.(*net.UDPConn)
		// The kernel silently limits the sizes; errors are ignored because smaller
		// buffers work as well.
		_ = conn.SetReadBuffer(bufferSize)
		_ = conn.SetWriteBuffer(bufferSize)
		gr.workers = append(gr.workers, &Worker{conn: conn})
	}
	return gr, nil
}

// reserve checks that the address is free and returns it with the port that was
// chosen if port 0 was asked for. With SO_REUSEPORT, binding an address that other
// such sockets use succeeds, so the address is first bound without it.
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

// Address returns the address that the sockets share.
func (gr *Group) Address() netip.AddrPort {
	return unmap(gr.workers[0].conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Serve calls the handler with every datagram until the sockets are closed. The
// workers call it concurrently.
func (gr *Group) Serve(ha Handler) error {
	return gr.ServePerWorker(func() Handler { return ha })
}

// ServePerWorker is like Serve, but creates a handler for each worker, which may
// hold buffers that only this worker uses.
func (gr *Group) ServePerWorker(create func() Handler) error {
	var eg errgroup.Group
	for _, wo := range gr.workers {
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
func (gr *Group) Send(datagram []byte, to netip.AddrPort) error {
	return gr.workers[0].Send(datagram, to)
}

// Close closes the sockets.
func (gr *Group) Close() {
	for _, wo := range gr.workers {
		wo.conn.Close()
	}
}

func unmap(ad netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(ad.Addr().Unmap(), ad.Port())
}
