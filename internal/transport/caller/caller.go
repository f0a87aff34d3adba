// Package caller is a client of a service behind the balancers. It sends HTTP/3
// requests over one QUIC connection, which is one flow.
//
// # Usage
//
//	ca := caller.Open(caller.Config{Service: address, Authority: pool})
//	answer, err := ca.Do(request)
//	ca.Close()
package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	initialPacketSize = 1200 // bytes; leaves room for the envelope on a path of 1,280 bytes
	keepAlive         = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// handshakeTimeout is how long a host may stay silent in a handshake. The next
	// attempt uses another source port, so it may reach another host.
	handshakeTimeout = time.Second
)

// ErrNotRun is the error of a request that never left the caller, because no
// flow could be opened.
var ErrNotRun = errors.New("not run: no flow could be opened")

// Config names a service and how to verify it.
type Config struct {
	// Service is the service's UDP address.
	Service netip.AddrPort
	// Authority holds the certificates of the authorities that may sign the
	// service's certificate.
	Authority *x509.CertPool
	// Name is the name that the service's certificate must have.
	Name string
	// OnEnd, if set, is called with the cause when a flow ends by anything but Close.
	OnEnd func(err error)
}

// Caller sends requests over one flow to a service. It opens a new flow if the
// former one has ended. It is safe for concurrent use.
type Caller struct {
	cfg       Config
	transport *http3.Transport
	tickets   *TicketTransport
}

// Open returns a caller that opens its flow with the first request.
func Open(cfg Config) *Caller {
	ca := &Caller{cfg: cfg}
	ca.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: cfg.Authority, ServerName: cfg.Name},
		QUICConfig: &quic.Config{
			InitialPacketSize:    initialPacketSize,
			HandshakeIdleTimeout: handshakeTimeout,
			KeepAlivePeriod:      keepAlive,
			MaxIdleTimeout:       idleTimeout,
		},
		Dial: ca.dial,
	}
	ca.tickets = &TicketTransport{Next: ca.transport}
	return ca
}

// dial opens a flow and calls onClosed when it ends.
func (ca *Caller) dial(ctx context.Context, address string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
	co, err := quic.DialAddrEarly(ctx, address, tc, qc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(co.Context(), func() { ca.onClosed(context.Cause(co.Context())) })
	return co, nil
}

// onClosed drops the unused tickets and reports the end of a flow unless this side
// ended it.
func (ca *Caller) onClosed(err error) {
	ca.tickets.DropTickets()
	if ca.cfg.OnEnd == nil {
		return
	}
	var ae *quic.ApplicationError
	if errors.As(err, &ae) && !ae.Remote {
		return
	}
	ca.cfg.OnEnd(err)
}

// IsGracefulClose reports whether the error is that of a flow that the host closed
// with H3_NO_ERROR, as a graceful shutdown does (RFC 9114, section 5.2).
func IsGracefulClose(err error) bool {
	var ae *quic.ApplicationError
	return errors.As(err, &ae) && ae.Remote && http3.ErrCode(ae.ErrorCode) == http3.ErrCodeNoError
}

// Do sends a request, whose URL needs only a path, and returns the answer. It sets
// the URL's scheme and host, and obtains and repeats the tickets of unrepeatable
// requests. After an error that wraps ErrNotRun the request has not run; after any
// other error it may have.
func (ca *Caller) Do(re *http.Request) (*http.Response, error) {
	re.URL.Scheme = "https"
	re.URL.Host = ca.cfg.Service.String()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	re = re.WithContext(httptrace.WithClientTrace(re.Context(), trace))
	answer, err := ca.tickets.RoundTrip(re)
	if err != nil && !sent.Load() {
		return nil, errors.Wrapf(ErrNotRun, "call %s: %v", ca.cfg.Service, err)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", ca.cfg.Service)
	}
	return answer, nil
}

// Close ends the flow.
func (ca *Caller) Close() error {
	return ca.transport.Close()
}
