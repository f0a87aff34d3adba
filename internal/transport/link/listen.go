package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = time.Second
)

// Listener serves HTTP handlers on one address.
type Listener struct {
	listener net.Listener
	server   *http.Server
	// closeLinks closes the open links: http.Server.Shutdown doesn't track hijacked
	// connections, which WebSocket connections are.
	closeLinks context.CancelFunc
}

// Listen listens on a TCP address. The handler is served with TLS unless the
// configuration is nil. An error is wrapped with the address.
func Listen(ctx context.Context, address netip.AddrPort, tc *tls.Config, ha http.Handler) (*Listener, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if tc != nil {
		li = tls.NewListener(li, tc)
	}
	base, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	return &Listener{
		listener: li,
		server: &http.Server{
			Handler:           ha,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          errorLog,
			BaseContext:       func(net.Listener) context.Context { return base },
		},
		closeLinks: closeLinks,
	}, nil
}

// Address returns the address that the listener is bound to, with the port that
// was chosen if port 0 was asked for.
func (li *Listener) Address() netip.AddrPort {
	return li.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends or Close is called, and returns nil then. Any
// other error is wrapped with the address.
func (li *Listener) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, li.Close)
	defer stop()
	if err := li.server.Serve(li.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", li.listener.Addr())
	}
	return nil
}

// Close stops the listener, gives open requests closeTimeout to end and closes the
// open links.
func (li *Listener) Close() {
	defer li.closeLinks()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := li.server.Shutdown(ctx); err != nil {
		li.server.Close()
	}
}
