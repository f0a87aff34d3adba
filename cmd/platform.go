package cmd

import (
	"context"

	"corneltiller.dev/corneltiller/platform"
)

// platformRoleOptions are the options of the platform subcommands.
type platformRoleOptions struct {
	Settings string `long:"settings" short:"s" env:"CORNELTILLER_SETTINGS" description:"Settings file: JSON with comments" required:"yes"`
}

func platformCommand() *command {
	return &command{
		name:  "platform",
		short: "Run a balancer or an agent on the users' platform",
		long:  "Run a balancer or an agent that forwards callers' flows to backend servers on the users' platform without terminating them.",
		commands: []*command{
			platformRoleCommand("balancer", "Run a balancer on an entry instance", platform.RunBalancer),
			platformRoleCommand("agent", "Run the agent beside a backend server", platform.RunAgent),
		},
	}
}

// platformRoleCommand returns the command that runs a role with the settings file.
func platformRoleCommand(name, short string, start func(ctx context.Context, path string) error) *command {
	op := &platformRoleOptions{}
	return &command{
		name:    name,
		short:   short,
		long:    short + ". SIGTERM stops it gracefully, SIGHUP reads the settings file again and applies its Store, Seeds and StopWithin.",
		options: op,
		action: func(ru *run, _ []string) error {
			surviveHangups()
			return start(ru, op.Settings)
		},
	}
}
