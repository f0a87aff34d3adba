package cmd

import (
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/agent"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

func agentCommand() *command {
	return roleCommand("agent", "Run the agent beside a backend server",
		"Run the agent beside a backend server: terminate callers' flows, pass their requests to the backend server and announce the host. "+
			"SIGTERM drains it gracefully, a second SIGTERM ends it at once; SIGHUP reloads the keys.",
		settings.DefaultAgent(), runAgent)
}

func runAgent(ru *run, st settings.Agent) error {
	material, err := openKeys(ru, st.Keys)
	if err != nil {
		return err
	}
	ag, err := agent.Open(ru, agent.Config{Agent: st, Material: material, Registry: gauge.NewRegistry()})
	if err != nil {
		return err
	}
	return ag.Run(ru)
}
