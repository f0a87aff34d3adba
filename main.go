// Command corneltiller is a layer-4 load balancer. Its subcommands run the balancers,
// the agents beside the backend servers, the operators' console, a client that calls
// services, and stand-ins for trials.
package main

import (
	"os"

	"corneltiller.dev/corneltiller/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
