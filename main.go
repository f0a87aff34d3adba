// Command corneltiller is a layer-4 load balancer: the balancers, the agents
// beside the backend servers, the operators' console and a caller's client.
package main

import (
	"os"

	"corneltiller.dev/corneltiller/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
