// Package trial generates the settings of a small fleet that runs on one
// machine for tests and demonstrations: the stand-in of the platform, a fabric,
// three balancers in three failure domains, and ten hosts, each with an agent and
// a backend server. Seven hosts serve the service yardline, three ledgerwash.
//
// # Usage
//
//	fl := trial.New(netip.MustParseAddr("127.0.0.1"), keys.PathsIn(folder))
//	processes, err := fl.Write(folder)
package trial

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/standin/backend"
	"corneltiller.dev/corneltiller/internal/standin/fabric"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/keys"
)

// The identifiers of the trial fleet's services.
const (
	Yardline   = 1
	Ledgerwash = 2
)

const (
	balancerCount   = 3
	yardlineHosts   = 7
	ledgerwashHosts = 3

	firstServicePort  = 8441
	platformPort      = 8400
	fabricPort        = 8450
	firstBalancerPort = 8500
	firstHostPort     = 8600
	portsPerInstance  = 10

	stopWithin   = settings.Duration(20 * time.Second)
	ownerName    = "glenrug"
	ownerKeyFile = "glenrug.pem"

	settingsMode = 0o600
	folderMode   = 0o700
)

// domains are the failure domains of the trial fleet.
var domains = []string{"scot-central-a", "scot-central-b", "scot-central-c"}

// Fleet holds the settings of every process of the trial fleet.
type Fleet struct {
	Platform  netip.AddrPort
	Fabric    fabric.Settings
	Balancers []settings.Balancer
	Agents    []settings.Agent
	Backends  []backend.Settings
	// Console is for an operator. It names the file of the operator's key; Write
	// does not create that file.
	Console settings.Console
}

// platformSettings are the settings of the stand-in of the platform.
type platformSettings struct {
	Address netip.AddrPort
}

// Process is one process of the fleet.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// Arguments are the arguments of the corneltiller command.
	Arguments []string
}

// Services returns the services of the trial fleet, all on one IP address.
func Services(host netip.Addr) []settings.Service {
	return []settings.Service{
		{
			ID: Yardline, Name: "yardline", Firm: "Glenrug",
			Addresses: []netip.AddrPort{netip.AddrPortFrom(host, firstServicePort)},
		},
		{
			ID: Ledgerwash, Name: "ledgerwash", Firm: "Glenrug",
			Addresses: []netip.AddrPort{netip.AddrPortFrom(host, firstServicePort+1)},
		},
	}
}

// New returns the settings of a fleet whose processes all use one IP address.
func New(host netip.Addr, paths keys.Paths) *Fleet {
	fl := &Fleet{Platform: netip.AddrPortFrom(host, platformPort)}
	services := Services(host)
	seeds := make([]netip.AddrPort, 0, balancerCount)
	for i := range balancerCount {
		seeds = append(seeds, instanceAddress(host, firstBalancerPort, i, 2))
	}
	fl.Fabric = fabric.Settings{Answers: netip.AddrPortFrom(host, fabricPort), Seed: 1}
	for _, sv := range services {
		fl.Fabric.Services = append(fl.Fabric.Services, sv.Addresses...)
	}
	for i := range balancerCount {
		ba := newBalancer(host, i, paths)
		ba.Fabric = fl.Fabric.Answers
		ba.Seeds = seeds
		ba.Services = services
		fl.Balancers = append(fl.Balancers, ba)
		fl.Fabric.Balancers = append(fl.Fabric.Balancers, fabric.Target{Callers: ba.Callers, Metrics: ba.Metrics})
	}
	fl.Console = settings.Console{
		Platform:  fl.Platform,
		Balancers: seeds,
		Owner:     ownerName,
		OwnerKey:  filepath.Join(filepath.Dir(paths.Key), ownerKeyFile),
		Keys:      settings.Keys(paths),
	}
	for i := range yardlineHosts + ledgerwashHosts {
		sv := services[0]
		if i >= yardlineHosts {
			sv = services[1]
		}
		fl.addHost(host, i, sv, paths, seeds)
	}
	return fl
}

// newBalancer returns the settings of balancer i, without those that all
// balancers share.
func newBalancer(host netip.Addr, i int, paths keys.Paths) settings.Balancer {
	ba := settings.DefaultBalancer()
	ba.Domain = domains[i%len(domains)]
	ba.Keys = settings.Keys(paths)
	ba.StopWithin = stopWithin
	ba.Callers = instanceAddress(host, firstBalancerPort, i, 0)
	ba.Hosts = instanceAddress(host, firstBalancerPort, i, 1)
	ba.Control = instanceAddress(host, firstBalancerPort, i, 2)
	ba.Metrics = instanceAddress(host, firstBalancerPort, i, 3)
	ba.Platform = netip.AddrPortFrom(host, platformPort)
	return ba
}

// addHost adds the backend server and the agent of host i.
func (fl *Fleet) addHost(host netip.Addr, i int, sv settings.Service, paths keys.Paths, seeds []netip.AddrPort) {
	be := backend.Defaults()
	be.Address = instanceAddress(host, firstHostPort, i, 0)
	be.Service = sv.Name
	be.Seed = uint64(i)
	fl.Backends = append(fl.Backends, be)

	ag := settings.DefaultAgent()
	ag.Domain = domains[i%len(domains)]
	ag.Keys = settings.Keys(paths)
	ag.StopWithin = stopWithin
	ag.Backend = be.Address
	ag.Datagrams = instanceAddress(host, firstHostPort, i, 1)
	ag.Control = instanceAddress(host, firstHostPort, i, 2)
	ag.Metrics = instanceAddress(host, firstHostPort, i, 3)
	ag.Service = sv.ID
	ag.Seeds = seeds
	fl.Agents = append(fl.Agents, ag)
}

// instanceAddress returns the host's address with one of the portsPerInstance ports of an
// instance. first is the first instanceAddress of instance 0, offset counts from the first
// instanceAddress of the given instance.
func instanceAddress(host netip.Addr, first, instance, offset int) netip.AddrPort {
	return netip.AddrPortFrom(host, uint16(first+instance*portsPerInstance+offset))
}

// Write writes one settings file per process, and one for the console, into a
// folder, which it creates if needed. It returns the processes in the order in
// which to start them; the console is not among them.
func (fl *Fleet) Write(folder string) ([]Process, error) {
	wr := &writer{folder: folder}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create settings folder")
	}
	wr.add("platform", platformSettings{Address: fl.Platform}, "standin", "platform")
	for i, be := range fl.Backends {
		wr.add(fmt.Sprintf("backend-%d", i), be, "standin", "backend")
	}
	for i, ba := range fl.Balancers {
		wr.add(fmt.Sprintf("balancer-%d", i), ba, "balancer")
	}
	for i, ag := range fl.Agents {
		wr.add(fmt.Sprintf("agent-%d", i), ag, "agent")
	}
	wr.add("fabric", fl.Fabric, "standin", "fabric")
	wr.write("console", fl.Console)
	return wr.processes, wr.err
}

// writer writes settings files. After the first error it writes nothing more.
type writer struct {
	folder    string
	processes []Process
	err       error
}

// add writes the settings of a process and adds it to those to start.
func (wr *writer) add(name string, value any, command ...string) {
	path := wr.write(name, value)
	arguments := append(append([]string(nil), command...), "--settings", path)
	wr.processes = append(wr.processes, Process{Name: name, Arguments: arguments})
}

// write writes one settings file and returns its path.
func (wr *writer) write(name string, value any) string {
	path := filepath.Join(wr.folder, name+".json")
	if wr.err != nil {
		return path
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		wr.err = errors.Wrapf(err, "encode settings of %s", name)
		return path
	}
	if err := os.WriteFile(path, append(data, '\n'), settingsMode); err != nil {
		wr.err = errors.Wrapf(err, "write settings of %s", name)
	}
	return path
}
