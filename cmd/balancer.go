package cmd

import (
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/balancer"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

func balancerCommand() *command {
	return roleCommand("balancer", "Run a balancer",
		"Run a balancer: receive callers' datagrams from the fabric and forward them to the agents of the service. "+
			"SIGTERM stops it gracefully, a second SIGTERM ends it at once; SIGHUP reloads the keys.",
		settings.DefaultBalancer(), runBalancer)
}

func runBalancer(ru *run, st settings.Balancer) error {
	material, err := openKeys(ru, st.Keys)
	if err != nil {
		return err
	}
	ba, err := balancer.Open(ru, balancer.Config{Balancer: st, Material: material, Registry: gauge.NewRegistry()})
	if err != nil {
		return err
	}
	return ba.Run(ru)
}
