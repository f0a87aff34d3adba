package desk

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/outcome"
)

// startBroken starts a backend server that answers each request with the text and
// ends the connection.
func startBroken(t *testing.T, text string) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if re, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, re.Body)
				_, _ = io.WriteString(conn, text)
			}
			conn.Close()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestAnswerThatBreaksOff(t *testing.T) {
	Convey("An answer of the backend server that ends early is no success, however its length is told", t, func() {
		for _, answer := range []struct {
			text string
			code int
		}{
			{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", http.StatusOK},
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", http.StatusOK},
			{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", http.StatusBadGateway},
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.StatusBadGateway},
			{"HTTP/1.1 200 OK\r\n\r\nhalf or whole", http.StatusBadGateway},
			{"HTTP/1.0 200 OK\r\n\r\nhalf or whole", http.StatusBadGateway},
		} {
			gr := newAgentGroup(t, 1, false)
			ag := gr.agents[0]
			ag.cfg.Backend = startBroken(t, answer.text)
			recorder := httptest.NewRecorder()
			ag.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/status", strings.NewReader("")))
			So(recorder.Code, ShouldEqual, answer.code)
			if answer.code == http.StatusOK {
				So(recorder.Body.String(), ShouldEqual, "whole")
				continue
			}
			So(recorder.Header().Get(outcome.HeaderOutcome), ShouldNotEqual, "Answered")
		}
	})
}
