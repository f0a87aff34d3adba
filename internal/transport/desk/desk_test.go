package desk

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/ticket"
	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/caller"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// anyPort lets the system choose the port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// server is a backend server that keeps a book of its runs.
type server struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	// gate, if set, holds every request until it is closed.
	gate chan struct{}
	// cut lets the server run a request and break off before its answer.
	cut atomic.Bool
	// canceled counts the requests whose sender went away.
	canceled atomic.Int64
}

// newServer starts a backend server.
func newServer(t *testing.T, gate chan struct{}) *server {
	se := &server{runs: map[string]int{}, gate: gate}
	se.Server = httptest.NewServer(http.HandlerFunc(se.serve))
	t.Cleanup(se.CloseClientConnections)
	return se
}

// serve runs a request.
func (se *server) serve(wr http.ResponseWriter, re *http.Request) {
	body, _ := io.ReadAll(re.Body)
	se.mu.Lock()
	se.runs[string(body)]++
	se.mu.Unlock()
	if se.gate != nil {
		select {
		case <-se.gate:
		case <-re.Context().Done():
			se.canceled.Add(1)
			return
		}
	}
	switch {
	case se.cut.Load():
		panic(http.ErrAbortHandler)
	case re.URL.Path == "/large":
		_, _ = wr.Write(make([]byte, maxBuffered))
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(wr, "done %s", body)
	}
}

// count returns how often the body ran.
func (se *server) count(body string) int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.runs[body]
}

// office is one desk with its sockets.
type office struct {
	*Desk
	server *server
	front  *httptest.Server
	record register.Host
	link   *link.Listener
}

// crew is a few offices of one service that know each other.
type crew struct {
	offices []*office
	gate    chan struct{}
}

// newCrew starts the offices. If gated, servers hold requests until open.
func newCrew(t *testing.T, count int, gated bool) *crew {
	paths, err := keys.Generate(filepath.Join(t.TempDir(), "keys"), time.Now())
	So(err, ShouldBeNil)
	material, err := keys.Open(paths)
	So(err, ShouldBeNil)
	cr := &crew{}
	if gated {
		cr.gate = make(chan struct{})
	}
	for at := range count {
		cr.offices = append(cr.offices, newOffice(t, material, at, newServer(t, cr.gate)))
	}
	cr.introduce()
	return cr
}

// newOffice starts one desk.
func newOffice(t *testing.T, material *keys.Store, at int, se *server) *office {
	mux := link.NewMux()
	control, err := link.Listen(context.Background(), anyPort, material.PeerServerTLS(), &link.Server{Mux: mux})
	So(err, ShouldBeNil)
	of := &office{server: se, link: control}
	of.record = register.Host{
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Address:  netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7001+at)),
		Control:  control.Address(),
		Service:  5,
		State:    register.StateReady,
	}
	pool := link.NewPool(material.PeerClientTLS())
	of.Desk = Open(Config{
		Host: of.record, Label: "glenrug", Slots: 2, Pool: pool, Board: gauge.NewRegistry(),
		Backend: netip.MustParseAddrPort(se.Listener.Addr().String()), Secret: material.Secret(),
	})
	of.Register(mux)
	go func() { _ = control.Run(context.Background()) }()
	of.front = httptest.NewServer(of)
	t.Cleanup(func() {
		of.Close()
		of.front.CloseClientConnections()
		control.Close()
		pool.Close()
	})
	return of
}

// introduce tells every desk of all hosts.
func (cr *crew) introduce() {
	var hosts []register.Host
	for _, of := range cr.offices {
		hosts = append(hosts, of.record)
	}
	for _, of := range cr.offices {
		of.SetHosts(hosts)
	}
}

// reply is an answer that was read whole.
type reply struct {
	status  int
	outcome ledger.Outcome
	reason  string
	ticket  string
	body    string
	err     error
}

// send sends a request and reads the answer.
func (of *office) send(method, path, body string, header http.Header) reply {
	re, err := http.NewRequest(method, of.front.URL+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	re.Header = header.Clone()
	return read(http.DefaultTransport.RoundTrip(re))
}

// read reads an answer.
func read(answer *http.Response, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	ou, _ := outcome.Read(answer.Header)
	return reply{
		status: answer.StatusCode, outcome: ou, body: string(data), err: err,
		reason: answer.Header.Get(outcome.HeaderReason), ticket: answer.Header.Get(ticket.Header),
	}
}

// withTicket returns a header with the ticket.
func withTicket(token string) http.Header {
	return http.Header{ticket.Header: {token}}
}

func TestBooking(t *testing.T) {
	Convey("Given three agents of one service", t, func() {
		cr := newCrew(t, 3, false)
		one, two := cr.offices[0], cr.offices[1]

		Convey("A booking without a ticket is NotRun and gets one", func() {
			re := one.send("POST", "/bookings", "rug 1", http.Header{})
			So(re.status, ShouldEqual, http.StatusPreconditionRequired)
			So(re.outcome, ShouldEqual, ledger.NotRun)
			So(re.ticket, ShouldNotBeEmpty)
			So(one.server.count("rug 1"), ShouldEqual, 0)

			Convey("With it, the booking runs once, however often and wherever it is repeated", func() {
				var pending sync.WaitGroup
				replies := make([]reply, 9)
				for at := range replies {
					pending.Go(func() {
						out, _ := http.NewRequest("POST", cr.offices[at%3].front.URL+"/bookings", strings.NewReader("rug 1"))
						out.Header = withTicket(re.ticket)
						replies[at] = read(http.DefaultTransport.RoundTrip(out))
					})
				}
				pending.Wait()
				for _, got := range replies {
					So(got.outcome, ShouldEqual, ledger.Answered)
					So(got.body, ShouldEqual, "done rug 1")
				}
				runs := one.server.count("rug 1") + two.server.count("rug 1") + cr.offices[2].server.count("rug 1")
				So(runs, ShouldEqual, 1)
			})

			Convey("Another request with the same ticket does not run", func() {
				So(two.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Answered)
				other := two.send("POST", "/bookings", "rug 2", withTicket(re.ticket))
				So(other.outcome, ShouldEqual, ledger.NotRun)
				So(other.status, ShouldEqual, http.StatusUnprocessableEntity)
				So(one.server.count("rug 2")+two.server.count("rug 2"), ShouldEqual, 0)
			})

			Convey("A server that ran but broke off leaves it Unknown for good", func() {
				one.server.cut.Store(true)
				So(one.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Unknown)
				one.server.cut.Store(false)
				So(two.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Unknown)
				So(one.server.count("rug 1"), ShouldEqual, 1)
			})
		})

		Convey("A forged ticket is Unknown, because its key may have changed", func() {
			re := one.send("POST", "/bookings", "rug 1", withTicket(strings.Repeat("A", 83)+"E"))
			So(re.status, ShouldEqual, http.StatusBadRequest)
			So(re.outcome, ShouldNotEqual, ledger.Answered)
		})

		Convey("The caller's client handles tickets by itself", func() {
			client := &caller.Tickets{Next: http.DefaultTransport}
			for at := range 3 {
				out, _ := http.NewRequest("POST", one.front.URL+"/bookings", strings.NewReader(fmt.Sprint("rug ", at)))
				So(read(client.RoundTrip(out)).outcome, ShouldEqual, ledger.Answered)
				So(one.server.count(fmt.Sprint("rug ", at)), ShouldEqual, 1)
			}
		})
	})
}

func TestMoving(t *testing.T) {
	Convey("Given two agents whose servers hold all requests", t, func() {
		cr := newCrew(t, 2, true)
		one, two := cr.offices[0], cr.offices[1]
		time.Sleep(2100 * time.Millisecond) // The ramp of a cold server.
		var pending sync.WaitGroup
		replies := make([]reply, 4)
		for at := range replies {
			pending.Go(func() {
				out, _ := http.NewRequest("GET", one.front.URL+"/status", strings.NewReader(fmt.Sprint("rug ", at)))
				replies[at] = read(http.DefaultTransport.RoundTrip(out))
			})
		}

		Convey("Requests beyond the slots of one run at the other, and each gets its own answer", func() {
			So(eventually(func() bool { return two.total() == 2 && one.total() == 2 }), ShouldBeTrue)
			close(cr.gate)
			pending.Wait()
			for at, got := range replies {
				So(got.outcome, ShouldEqual, ledger.Answered)
				So(got.body, ShouldEqual, fmt.Sprint("done rug ", at))
			}
		})
	})
}

// total returns the number of runs at the office's server.
func (of *office) total() int {
	of.server.mu.Lock()
	defer of.server.mu.Unlock()
	sum := 0
	for _, runs := range of.server.runs {
		sum += runs
	}
	return sum
}

// eventually waits until the condition holds.
func eventually(condition func() bool) bool {
	for range 500 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestStop(t *testing.T) {
	Convey("Given an agent with an answered booking and one in progress", t, func() {
		cr := newCrew(t, 3, true)
		one, two := cr.offices[0], cr.offices[1]
		first := one.send("POST", "/bookings", "rug 1", http.Header{}).ticket
		unused := one.send("POST", "/bookings", "rug 1", http.Header{}).ticket
		result := make(chan reply, 1)
		go func() {
			out, _ := http.NewRequest("POST", one.front.URL+"/bookings", strings.NewReader("rug 1"))
			out.Header = withTicket(first)
			result <- read(http.DefaultTransport.RoundTrip(out))
		}()
		So(eventually(func() bool { return one.server.count("rug 1") == 1 }), ShouldBeTrue)

		Convey("A stop waits for it, hands the ledger over, and the successor answers its repeat", func() {
			stopped := make(chan bool, 1)
			go func() {
				re := one.Stop(time.Now().Add(20 * time.Second))
				stopped <- re.Unfinished == 0 && re.Adopted
			}()
			time.Sleep(100 * time.Millisecond)
			So(len(stopped), ShouldEqual, 0)
			close(cr.gate)
			So((<-result).body, ShouldEqual, "done rug 1")
			So(<-stopped, ShouldBeTrue)
			one.record.State = register.StateGone
			one.link.Close()
			cr.introduce()
			again := two.send("POST", "/bookings", "rug 1", withTicket(first))
			So(again.outcome, ShouldEqual, ledger.Answered)
			So(again.body, ShouldEqual, "done rug 1")
			So(two.send("POST", "/bookings", "rug 9", withTicket(unused)).outcome, ShouldEqual, ledger.NotRun)
			So(one.server.count("rug 1")+two.total()+cr.offices[2].total(), ShouldEqual, 1)
		})

		Convey("A stop whose deadline passes tells what is left, and the caller that it is Unknown", func() {
			re := one.Stop(time.Now().Add(1200 * time.Millisecond))
			So(re.Unfinished, ShouldEqual, 1)
			So(re.Adopted, ShouldBeTrue)
			So((<-result).outcome, ShouldEqual, ledger.Unknown)
			close(cr.gate)
		})
	})
}

func TestFailures(t *testing.T) {
	Convey("Given one agent", t, func() {
		cr := newCrew(t, 1, true)
		one := cr.offices[0]

		Convey("A caller that vanishes cancels its repeatable request at the server", func() {
			ctx, cancel := context.WithCancel(context.Background())
			re, _ := http.NewRequestWithContext(ctx, "GET", one.front.URL+"/status", nil)
			go func() { _, _ = http.DefaultTransport.RoundTrip(re) }()
			So(eventually(func() bool { return one.total() == 1 }), ShouldBeTrue)
			cancel()
			So(eventually(func() bool { return one.server.canceled.Load() == 1 }), ShouldBeTrue)
		})

		Convey("A deadline ends the request here and at the server", func() {
			re := one.send("GET", "/status", "rug", http.Header{outcome.HeaderTimeout: {"150"}})
			So(re.outcome, ShouldEqual, ledger.Unknown)
			So(re.status, ShouldEqual, http.StatusGatewayTimeout)
			So(eventually(func() bool { return one.server.canceled.Load() == 1 }), ShouldBeTrue)
		})

		Convey("A truncated answer is never passed off as whole", func() {
			close(cr.gate)
			re := one.send("GET", "/large", "rug", http.Header{})
			So(re.err != nil || re.outcome != ledger.Answered, ShouldBeTrue)
		})

		Convey("A server that can't be reached leaves the request NotRun", func() {
			close(cr.gate)
			one.server.Close()
			re := one.send("GET", "/status", "rug", http.Header{})
			So(re.outcome, ShouldEqual, ledger.NotRun)
		})
	})
}
