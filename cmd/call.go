package cmd

import (
	"context"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/transport/caller"
)

// callOptions are the options of the call command.
type callOptions struct {
	Service   string            `long:"service" description:"Address of the service" required:"yes"`
	Authority string            `long:"authority" description:"PEM file of the certificate authorities that may sign the service's certificate" required:"yes"`
	Name      string            `long:"name" description:"Name in the service's certificate" default:"localhost"`
	Method    string            `long:"method" short:"X" description:"Request method" default:"GET"`
	Header    map[string]string `long:"header" short:"H" description:"Request header as Name:Value"`
	Body      string            `long:"body" short:"d" description:"Request body"`
	Count     int               `long:"count" short:"n" description:"Number of requests over the same flow" default:"1"`
	Within    time.Duration     `long:"within" description:"Time limit of each request" default:"10s"`
}

func callCommand() *command {
	op := &callOptions{}
	return &command{
		name:    "call",
		short:   "Call a service as a client",
		long:    "Send requests to a service over HTTP/3 and print the answers. The argument is the request path, / if left out. Stops at the first request that fails. Exits with 0 if all were answered, 1 if one failed or was not run, 3 if one's outcome is unknown.",
		options: op,
		action:  func(ru *run, args []string) error { return call(ru, op, args) },
	}
}

// call sends the requests one after another over one flow and stops at the first
// that fails.
func call(ru *run, op *callOptions, args []string) error {
	service, err := netip.ParseAddrPort(op.Service)
	if err != nil {
		return &exitError{code: ExitUsage, err: errors.Wrap(err, "parse service address")}
	}
	bundle, err := os.ReadFile(op.Authority)
	if err != nil {
		return &exitError{code: ExitUsage, err: errors.Wrap(err, "read authority file")}
	}
	authority := x509.NewCertPool()
	authority.AppendCertsFromPEM(bundle)
	path := "/"
	if len(args) > 0 {
		path = args[0]
	}
	ca := caller.Open(caller.Config{Service: service, Authority: authority, Name: op.Name})
	defer ca.Close()
	for range op.Count {
		if err := callOnce(ru, ca, op, path); err != nil {
			return err
		}
	}
	return nil
}

// callOnce sends one request and prints its answer.
func callOnce(ru *run, ca *caller.Caller, op *callOptions, path string) error {
	ctx, cancel := context.WithTimeout(ru, op.Within)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, op.Method, path, strings.NewReader(op.Body))
	if err != nil {
		return &exitError{code: ExitUsage, err: errors.Wrap(err, "build request")}
	}
	for name, value := range op.Header {
		re.Header.Set(name, value)
	}
	answer, err := ca.Do(re)
	if errors.Is(err, caller.ErrNotRun) {
		return err
	}
	if err != nil {
		return &exitError{code: ExitUnknown, err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return &exitError{code: ExitUnknown, err: errors.Wrap(err, "read answer")}
	}
	fmt.Fprintf(ru.out, "%s %s\n", answer.Status, body)
	return outcomeError(answer)
}

// outcomeError returns an error unless the request was run and answered with a
// status below 400. The outcome of an answer without an outcome header is unknown:
// the answer did not come from an agent.
func outcomeError(answer *http.Response) error {
	ou, ok := outcome.Read(answer.Header)
	if !ok || ou == ledger.Unknown {
		err := errors.Errorf("outcome unknown: %s", answer.Header.Get(outcome.HeaderReason))
		return &exitError{code: ExitUnknown, err: err}
	}
	if ou == ledger.NotRun {
		return errors.Errorf("not run: %s", answer.Header.Get(outcome.HeaderReason))
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("service answered %s", answer.Status)
	}
	return nil
}
