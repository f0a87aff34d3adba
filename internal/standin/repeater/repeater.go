// Package repeater is a stand-in for an HTTP/1.1 server with a fault: before the
// answer to a request it sends a second copy of the previous answer on the same
// connection, as a server does whose late copy arrives when the connection is in
// use again. A client that uses a connection twice takes the copy for the answer to
// its next request.
//
// # Usage
//
//	server, err := repeater.Start(func(re *http.Request) string { return re.URL.Path })
//	defer server.Close()
//	// send requests to server.Address()
package repeater

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
)

// Server answers the requests of any number of connections with status 200.
type Server struct {
	listener net.Listener
	body     func(re *http.Request) string
}

// Start starts a server on a loopback address. The function returns the body of
// the answer to a request, whose own body has been read.
func Start(body func(re *http.Request) string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the repeater")
	}
	se := &Server{listener: listener, body: body}
	go se.run()
	return se, nil
}

// Address returns the address that the server listens on.
func (se *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(se.listener.Addr().String())
}

// Close stops accepting connections.
func (se *Server) Close() { _ = se.listener.Close() }

func (se *Server) run() {
	for {
		conn, err := se.listener.Accept()
		if err != nil {
			return
		}
		go se.serve(conn)
	}
}

// serve answers the requests of one connection.
func (se *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		re, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, re.Body); err != nil {
			return
		}
		body := se.body(re)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}
