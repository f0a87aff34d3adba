package cmd

import (
	"encoding/json"
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/transport/explain"
)

// explainOptions are the options of the explain command.
type explainOptions struct {
	Balancer string `long:"balancer" description:"Address of the balancer's setting Metrics, as IP:PORT" required:"yes"`
	Caller   string `long:"caller" description:"Address of the caller, as IP:PORT" required:"yes"`
	Address  string `long:"address" description:"Address of the service that the caller opens a flow to, as IP:PORT" required:"yes"`
	JSON     bool   `long:"json" description:"Print the answer as JSON"`
}

func explainCommand() *command {
	op := &explainOptions{}
	return &command{
		name:  "explain",
		short: "Ask a balancer where it would send a new flow, and why",
		long: "Ask a running balancer where a new flow would go now, and why not to the other hosts. Nothing is sent to any host, " +
			"and the balancer's state doesn't change. Exits with 1 if the balancer doesn't answer, doesn't know the address, " +
			"or has no configuration or a stale view.",
		options: op,
		action:  func(ru *run, _ []string) error { return runExplain(ru, op) },
	}
}

// runExplain prints the answer, also one with a problem, which is then the error.
func runExplain(ru *run, op *explainOptions) error {
	balancer, err := parseOption("balancer", op.Balancer)
	if err != nil {
		return err
	}
	caller, err := parseOption("caller", op.Caller)
	if err != nil {
		return err
	}
	address, err := parseOption("address", op.Address)
	if err != nil {
		return err
	}
	an, err := explain.Ask(ru, balancer, caller, address)
	if err != nil {
		return err
	}
	if op.JSON {
		if err := json.NewEncoder(ru.out).Encode(an); err != nil {
			return errors.Wrap(err, "print answer")
		}
	} else {
		an.WriteText(ru.out)
	}
	if err := an.Err(); err != nil {
		return errors.Wrapf(err, "balancer %s", balancer)
	}
	return nil
}

// parseOption parses the address that an option has.
func parseOption(name, text string) (netip.AddrPort, error) {
	address, err := explain.ParseAddress(text)
	if err != nil {
		return address, &exitError{code: ExitUsage, err: errors.Wrapf(err, "option --%s", name)}
	}
	return address, nil
}
