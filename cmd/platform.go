package cmd

import (
	"context"

	"corneltiller.dev/corneltiller/platform"
)

// carryOptions name the settings file of a process on the platform.
type carryOptions struct {
	Settings string `long:"settings" short:"s" env:"CORNELTILLER_SETTINGS" description:"Settings file: JSON with comments" required:"yes"`
}

func platformCommand() *command {
	return &command{
		name:  "platform",
		short: "Run a process that carries flows on the platform",
		long:  "Run a process that carries callers' flows to backend servers on the platform without ending them.",
		commands: []*command{
			carryCommand("balancer", "Run a balancer on an entry instance", platform.RunBalancer),
			carryCommand("agent", "Run the agent beside a backend server", platform.RunAgent),
		},
	}
}

func carryCommand(name, short string, start func(ctx context.Context, path string) error) *command {
	op := &carryOptions{}
	return &command{
		name:    name,
		short:   short,
		long:    short + ". SIGTERM stops it gracefully, SIGHUP checks the settings file again.",
		options: op,
		action: func(ru *run, _ []string) error {
			return start(ru, op.Settings)
		},
	}
}
