package cmd

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/standin/backend"
	"corneltiller.dev/corneltiller/internal/standin/fabric"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/standin/trial"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

func standinCommand() *command {
	return &command{
		name:  "standin",
		short: "Run a stand-in for a part of the platform",
		long:  "Run a simplified replacement for a part of the platform, for trials on one machine.",
		commands: []*command{
			standinPlatformCommand(),
			standinFabricCommand(),
			standinBackendCommand(),
			standinKeysCommand(),
			standinFleetCommand(),
		},
	}
}

func standinFabricCommand() *command {
	return roleCommand("fabric", "Distribute callers' datagrams over balancers",
		"Listen on the services' addresses and forward each datagram to any balancer that is ready.",
		fabric.Settings{}, func(ru *run, st fabric.Settings) error {
			fa, err := fabric.Open(ru, st)
			if err != nil {
				return err
			}
			return fa.Run(ru)
		})
}

func standinBackendCommand() *command {
	return roleCommand("backend", "Serve as a backend server",
		"Serve requests in a limited number of slots and record every execution of a request; /Book returns the records.",
		backend.Defaults(), func(ru *run, st backend.Settings) error {
			se, err := backend.Open(ru, st)
			if err != nil {
				return err
			}
			return se.Run(ru)
		})
}

// platformSettings are the settings of the standin platform command.
type platformSettings struct {
	// Address is the TCP address that the object API listens on.
	Address netip.AddrPort
}

func standinPlatformCommand() *command {
	return roleCommand("platform", "Serve the platform's object API",
		"Store objects in memory, with versions, conditional updates and watches.",
		platformSettings{}, func(ru *run, st platformSettings) error {
			li, err := link.Listen(ru, st.Address, nil, platform.New())
			if err != nil {
				return err
			}
			return li.Run(ru)
		})
}

// keysOptions are the options of the standin keys command.
type keysOptions struct {
	Folder string `long:"folder" description:"Folder to write the keys to" default:"settings/keys"`
}

// fleetOptions are the options of the standin fleet command.
type fleetOptions struct {
	Folder string `long:"folder" description:"Folder to write the settings to" default:"settings"`
	Keys   string `long:"keys" description:"Folder with the keys that standin keys wrote" default:"settings/keys"`
	Host   string `long:"host" description:"IP address that all processes use" default:"127.0.0.1"`
}

func standinFleetCommand() *command {
	op := &fleetOptions{}
	return &command{
		name:    "fleet",
		short:   "Write the settings of a trial fleet",
		long:    "Write the settings of a platform, a fabric, three balancers and ten hosts on loopback, and print each process's name and arguments in the order in which to start them.",
		options: op,
		action: func(ru *run, _ []string) error {
			host, err := netip.ParseAddr(op.Host)
			if err != nil {
				return &exitError{code: ExitUsage, err: errors.Wrap(err, "parse host address")}
			}
			processes, err := trial.New(host, keys.PathsIn(op.Keys)).Write(op.Folder)
			if err != nil {
				return err
			}
			for _, pr := range processes {
				fmt.Fprintln(ru.out, pr.Name, strings.Join(pr.Arguments, " "))
			}
			return nil
		},
	}
}

func standinKeysCommand() *command {
	op := &keysOptions{}
	return &command{
		name:    "keys",
		short:   "Write short-lived keys for trials",
		long:    "Write keys for trials on loopback: a certificate authority, a certificate with its private key, and the deployment's secret. The certificates expire after a day.",
		options: op,
		action: func(ru *run, _ []string) error {
			paths, err := keys.Generate(op.Folder, time.Now())
			if err != nil {
				return err
			}
			fmt.Fprintf(ru.out, "%s\n%s\n%s\n%s\n", paths.Authority, paths.Certificate, paths.Key, paths.Secret)
			return nil
		},
	}
}
