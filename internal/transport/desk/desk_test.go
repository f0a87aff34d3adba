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

// backendServer is a backend server that counts the runs of each request body.
type backendServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	// unblock, if set, blocks every request until it is closed.
	unblock chan struct{}
	// abort makes the server run a request and close the connection before it
	// answers.
	abort atomic.Bool
	// canceled counts the requests that their sender canceled.
	canceled atomic.Int64
}

// newBackendServer starts a backend server.
func newBackendServer(t *testing.T, unblock chan struct{}) *backendServer {
	bs := &backendServer{runs: map[string]int{}, unblock: unblock}
	bs.Server = httptest.NewServer(http.HandlerFunc(bs.serve))
	t.Cleanup(bs.CloseClientConnections)
	return bs
}

// serve runs a request.
func (bs *backendServer) serve(wr http.ResponseWriter, re *http.Request) {
	body, _ := io.ReadAll(re.Body)
	bs.mu.Lock()
	bs.runs[string(body)]++
	bs.mu.Unlock()
	if bs.unblock != nil {
		select {
		case <-bs.unblock:
		case <-re.Context().Done():
			bs.canceled.Add(1)
			return
		}
	}
	switch {
	case bs.abort.Load():
		panic(http.ErrAbortHandler)
	case re.URL.Path == "/large":
		_, _ = wr.Write(make([]byte, maxBufferedAnswer))
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(wr, "done %s", body)
	}
}

// count returns how often the body ran.
func (bs *backendServer) count(body string) int {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.runs[body]
}

// testAgent is a Handler with its backend server and its sockets for callers and
// other agents.
type testAgent struct {
	*Handler
	server       *backendServer
	callerServer *httptest.Server
	record       register.Host
	link         *link.Listener
}

// agentGroup is a number of agents of one service that know each other.
type agentGroup struct {
	agents  []*testAgent
	unblock chan struct{}
}

// newAgentGroup starts the agents. If blocked is set, their backend servers hold
// all requests until unblock is closed.
func newAgentGroup(t *testing.T, count int, blocked bool) *agentGroup {
	paths, err := keys.Generate(filepath.Join(t.TempDir(), "keys"), time.Now())
	So(err, ShouldBeNil)
	material, err := keys.Open(paths)
	So(err, ShouldBeNil)
	gr := &agentGroup{}
	if blocked {
		gr.unblock = make(chan struct{})
	}
	for i := range count {
		gr.agents = append(gr.agents, newTestAgent(t, material, i, newBackendServer(t, gr.unblock)))
	}
	gr.shareHosts()
	return gr
}

// newTestAgent starts one agent.
func newTestAgent(t *testing.T, material *keys.Store, index int, bs *backendServer) *testAgent {
	mux := link.NewMux()
	control, err := link.Listen(context.Background(), anyPort, material.PeerServerTLS(), &link.Server{Mux: mux})
	So(err, ShouldBeNil)
	ag := &testAgent{server: bs, link: control}
	ag.record = register.Host{
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Address:  netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7001+index)),
		Control:  control.Address(),
		Service:  5,
		State:    register.StateReady,
	}
	pool := link.NewPool(material.PeerClientTLS())
	ag.Handler = New(Config{
		Host: ag.record, Label: "glenrug", Slots: 2, Pool: pool, Metrics: gauge.NewRegistry(),
		Backend: netip.MustParseAddrPort(bs.Listener.Addr().String()), Secret: material.Secret(),
	})
	ag.Register(mux)
	go func() { _ = control.Run(context.Background()) }()
	ag.callerServer = httptest.NewServer(ag)
	t.Cleanup(func() {
		ag.Close()
		ag.callerServer.CloseClientConnections()
		control.Close()
		pool.Close()
	})
	return ag
}

// shareHosts sets the hosts of all agents at each of them.
func (gr *agentGroup) shareHosts() {
	var hosts []register.Host
	for _, ag := range gr.agents {
		hosts = append(hosts, ag.record)
	}
	for _, ag := range gr.agents {
		ag.SetHosts(hosts)
	}
}

// reply is an answer that was read to its end, or the error of reading it.
type reply struct {
	status  int
	outcome ledger.Outcome
	reason  string
	ticket  string
	body    string
	err     error
}

// send sends a request and reads the answer.
func (ag *testAgent) send(method, path, body string, header http.Header) reply {
	re, err := http.NewRequest(method, ag.callerServer.URL+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	re.Header = header.Clone()
	return read(http.DefaultTransport.RoundTrip(re))
}

// read reads an answer to its end.
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

// withTicket returns a header that carries the ticket.
func withTicket(token string) http.Header {
	return http.Header{ticket.Header: {token}}
}

func TestUnrepeatableRequests(t *testing.T) {
	Convey("Given three agents of one service", t, func() {
		gr := newAgentGroup(t, 3, false)
		one, two := gr.agents[0], gr.agents[1]

		Convey("A booking without a ticket is NotRun, and the answer carries a ticket", func() {
			re := one.send("POST", "/bookings", "rug 1", http.Header{})
			So(re.status, ShouldEqual, http.StatusPreconditionRequired)
			So(re.outcome, ShouldEqual, ledger.NotRun)
			So(re.ticket, ShouldNotBeEmpty)
			So(one.server.count("rug 1"), ShouldEqual, 0)

			Convey("With the ticket, the booking runs once, however often and at whichever agent it is repeated", func() {
				var pending sync.WaitGroup
				replies := make([]reply, 9)
				for i := range replies {
					pending.Go(func() {
						out, _ := http.NewRequest("POST", gr.agents[i%3].callerServer.URL+"/bookings", strings.NewReader("rug 1"))
						out.Header = withTicket(re.ticket)
						replies[i] = read(http.DefaultTransport.RoundTrip(out))
					})
				}
				pending.Wait()
				for _, got := range replies {
					So(got.outcome, ShouldEqual, ledger.Answered)
					So(got.body, ShouldEqual, "done rug 1")
				}
				runs := one.server.count("rug 1") + two.server.count("rug 1") + gr.agents[2].server.count("rug 1")
				So(runs, ShouldEqual, 1)
			})

			Convey("A different request with the same ticket does not run", func() {
				So(two.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Answered)
				other := two.send("POST", "/bookings", "rug 2", withTicket(re.ticket))
				So(other.outcome, ShouldEqual, ledger.NotRun)
				So(other.status, ShouldEqual, http.StatusUnprocessableEntity)
				So(one.server.count("rug 2")+two.server.count("rug 2"), ShouldEqual, 0)
			})

			Convey("If the backend server ran the booking but sent no answer, the outcome stays Unknown", func() {
				one.server.abort.Store(true)
				So(one.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Unknown)
				one.server.abort.Store(false)
				So(two.send("POST", "/bookings", "rug 1", withTicket(re.ticket)).outcome, ShouldEqual, ledger.Unknown)
				So(one.server.count("rug 1"), ShouldEqual, 1)
			})
		})

		Convey("A ticket that can't be opened, such as one sealed with a former key, is refused", func() {
			re := one.send("POST", "/bookings", "rug 1", withTicket(strings.Repeat("A", 83)+"E"))
			So(re.status, ShouldEqual, http.StatusBadRequest)
			So(re.outcome, ShouldNotEqual, ledger.Answered)
		})

		Convey("The caller package's client obtains and sends tickets by itself", func() {
			client := &caller.TicketTransport{Next: http.DefaultTransport}
			for i := range 3 {
				out, _ := http.NewRequest("POST", one.callerServer.URL+"/bookings", strings.NewReader(fmt.Sprint("rug ", i)))
				So(read(client.RoundTrip(out)).outcome, ShouldEqual, ledger.Answered)
				So(one.server.count(fmt.Sprint("rug ", i)), ShouldEqual, 1)
			}
		})
	})
}

func TestDelegation(t *testing.T) {
	Convey("Given two agents whose backend servers block all requests", t, func() {
		gr := newAgentGroup(t, 2, true)
		one, two := gr.agents[0], gr.agents[1]
		time.Sleep(2100 * time.Millisecond) // Until the end of slow start, which limits a new server to half of its slots.
		var pending sync.WaitGroup
		replies := make([]reply, 4)
		for i := range replies {
			pending.Go(func() {
				out, _ := http.NewRequest("GET", one.callerServer.URL+"/status", strings.NewReader(fmt.Sprint("rug ", i)))
				replies[i] = read(http.DefaultTransport.RoundTrip(out))
			})
		}

		Convey("Requests beyond the slots of the first run at the second, and each gets its own answer", func() {
			So(eventually(func() bool { return two.totalRuns() == 2 && one.totalRuns() == 2 }), ShouldBeTrue)
			close(gr.unblock)
			pending.Wait()
			for i, got := range replies {
				So(got.outcome, ShouldEqual, ledger.Answered)
				So(got.body, ShouldEqual, fmt.Sprint("done rug ", i))
			}
		})
	})
}

// totalRuns returns the number of runs at the agent's backend server.
func (ag *testAgent) totalRuns() int {
	ag.server.mu.Lock()
	defer ag.server.mu.Unlock()
	sum := 0
	for _, runs := range ag.server.runs {
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
	Convey("Given an agent with an unused ticket and a booking in progress", t, func() {
		gr := newAgentGroup(t, 3, true)
		one, two := gr.agents[0], gr.agents[1]
		first := one.send("POST", "/bookings", "rug 1", http.Header{}).ticket
		unused := one.send("POST", "/bookings", "rug 1", http.Header{}).ticket
		result := make(chan reply, 1)
		go func() {
			out, _ := http.NewRequest("POST", one.callerServer.URL+"/bookings", strings.NewReader("rug 1"))
			out.Header = withTicket(first)
			result <- read(http.DefaultTransport.RoundTrip(out))
		}()
		So(eventually(func() bool { return one.server.count("rug 1") == 1 }), ShouldBeTrue)

		Convey("A stop waits for the booking in progress and hands the ledger over, and the successor answers a repeat", func() {
			stopped := make(chan bool, 1)
			go func() {
				re := one.Stop(time.Now().Add(20 * time.Second))
				stopped <- re.Unfinished == 0 && re.Adopted
			}()
			time.Sleep(100 * time.Millisecond)
			So(len(stopped), ShouldEqual, 0)
			close(gr.unblock)
			So((<-result).body, ShouldEqual, "done rug 1")
			So(<-stopped, ShouldBeTrue)
			one.record.State = register.StateGone
			one.link.Close()
			gr.shareHosts()
			again := two.send("POST", "/bookings", "rug 1", withTicket(first))
			So(again.outcome, ShouldEqual, ledger.Answered)
			So(again.body, ShouldEqual, "done rug 1")
			So(two.send("POST", "/bookings", "rug 9", withTicket(unused)).outcome, ShouldEqual, ledger.NotRun)
			So(one.server.count("rug 1")+two.totalRuns()+gr.agents[2].totalRuns(), ShouldEqual, 1)
		})

		Convey("A stop whose deadline passes reports the unfinished booking, and its caller gets Unknown", func() {
			re := one.Stop(time.Now().Add(1200 * time.Millisecond))
			So(re.Unfinished, ShouldEqual, 1)
			So(re.Adopted, ShouldBeTrue)
			So((<-result).outcome, ShouldEqual, ledger.Unknown)
			close(gr.unblock)
		})
	})
}

func TestFailures(t *testing.T) {
	Convey("Given one agent", t, func() {
		gr := newAgentGroup(t, 1, true)
		one := gr.agents[0]

		Convey("If the caller goes away, its repeatable request is canceled at the backend server", func() {
			ctx, cancel := context.WithCancel(context.Background())
			re, _ := http.NewRequestWithContext(ctx, "GET", one.callerServer.URL+"/status", nil)
			go func() { _, _ = http.DefaultTransport.RoundTrip(re) }()
			So(eventually(func() bool { return one.totalRuns() == 1 }), ShouldBeTrue)
			cancel()
			So(eventually(func() bool { return one.server.canceled.Load() == 1 }), ShouldBeTrue)
		})

		Convey("A deadline ends the request at the agent and at the backend server", func() {
			re := one.send("GET", "/status", "rug", http.Header{outcome.HeaderTimeout: {"150"}})
			So(re.outcome, ShouldEqual, ledger.Unknown)
			So(re.status, ShouldEqual, http.StatusGatewayTimeout)
			So(eventually(func() bool { return one.server.canceled.Load() == 1 }), ShouldBeTrue)
		})

		Convey("A truncated answer never reaches the caller as a complete one", func() {
			close(gr.unblock)
			re := one.send("GET", "/large", "rug", http.Header{})
			So(re.err != nil || re.outcome != ledger.Answered, ShouldBeTrue)
		})

		Convey("If the backend server can't be reached, the request is NotRun", func() {
			close(gr.unblock)
			one.server.Close()
			re := one.send("GET", "/status", "rug", http.Header{})
			So(re.outcome, ShouldEqual, ledger.NotRun)
		})
	})
}
