package test

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/backend"
	"corneltiller.dev/corneltiller/internal/transport/caller"
)

const (
	requestTimeout = 2 * time.Second
	resetTimeout   = 20 * time.Second
)

// openCaller returns a client of a service and a channel that receives the error if
// its flow ends without being closed.
func (fl *fleet) openCaller(service int) (*caller.Caller, <-chan error) {
	fl.tb.Helper()
	bundle, err := os.ReadFile(fl.paths.Authority)
	if err != nil {
		fl.tb.Fatal(err)
	}
	authority := x509.NewCertPool()
	authority.AppendCertsFromPEM(bundle)
	ended := make(chan error, 8)
	ca := caller.Open(caller.Config{
		Service:   fl.Fabric.Services[service],
		Authority: authority,
		Name:      "localhost",
		OnEnd:     func(err error) { ended <- err },
	})
	fl.tb.Cleanup(func() { ca.Close() })
	return ca, ended
}

// status sends a request for /status and returns the backend server's answer.
func status(ca *caller.Caller) (backend.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var an backend.Answer
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "/status", strings.NewReader(""))
	if err != nil {
		return an, err
	}
	answer, err := ca.Do(re)
	if err != nil {
		return an, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return an, errors.New(answer.Status)
	}
	return an, json.NewDecoder(answer.Body).Decode(&an)
}

// agentOf returns the name of the agent process beside the backend server that gave
// the answer.
func (fl *fleet) agentOf(an backend.Answer) string {
	for i, be := range fl.Backends {
		if be.Address == an.Host {
			return "agent-" + string(rune('0'+i))
		}
	}
	fl.tb.Fatalf("no backend server at %s", an.Host)
	return ""
}

// crashAgentOfFlow kills the agent of an open flow, starts the agent again if restart
// is set, and returns the error with which the flow ended. It fails the test if a
// later request doesn't open a new flow, and returns nil if the flow didn't end
// within resetTimeout.
func (fl *fleet) crashAgentOfFlow(restart bool) error {
	ca, ended := fl.openCaller(0)
	an, err := status(ca)
	if err != nil {
		fl.tb.Fatal(err)
	}
	name := fl.agentOf(an)
	fl.signal(name, syscall.SIGKILL)
	_ = fl.wait(name)
	if restart {
		fl.start(name)
	}
	deadline := time.Now().Add(resetTimeout)
	for time.Now().Before(deadline) {
		select {
		case err := <-ended:
			_, again := status(ca)
			if again != nil {
				fl.tb.Fatalf("request after the reset failed: %v", again)
			}
			return err
		default:
			_, _ = status(ca)
		}
	}
	return nil
}

// TestFlowOfACrashedHostEndsWithAReset guards against flows that hang until a timeout
// because nobody tells the caller that the agent lost them.
func TestFlowOfACrashedHostEndsWithAReset(t *testing.T) {
	fl := startFleet(t)
	convey.Convey("A flow ends with a stateless reset and the next request opens a new one", t, func() {
		for name, restart := range map[string]bool{"when its agent started again": true, "when its agent stays down": false} {
			convey.Convey(name, func() {
				err := fl.crashAgentOfFlow(restart)
				var re *quic.StatelessResetError
				convey.So(errors.As(err, &re), convey.ShouldBeTrue)
			})
		}
	})
}
