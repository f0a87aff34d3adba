package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports that all machines of a run use, as offsets from its first port.
const (
	portPeers = iota
	portReady
	portMetrics
	portPackets
	portControl
	portOutbound
	portApp
	portStore
	portCount
)

// Bounds and settings of a small deployment.
const (
	heartbeat = 1200 * time.Millisecond
	// grownConfigApply and grownStability are config_apply_ms and stability_ms of the grown
	// sites.
	grownConfigApply = 5 * time.Second
	grownStability   = 5 * time.Second
	stability        = 4 * time.Second
	grace            = 6 * time.Second
	flowTTL          = 60 * time.Second
	probeInterval    = 500 * time.Millisecond
)

// system is one small deployment: the project's processes and the stand-ins.
type system struct {
	*record
	trouble bool
	// program is the project's program as the deploy file builds it, folder a temporary one.
	program, folder string
	// net is the second byte of all loopback addresses, ports the first port.
	net, ports int
	store      *store
	fabric     *fabric
	arrivals   arrivals
	mu         sync.Mutex
	processes  []*process
	hosts      []*host
	clients    []*client
}

// newSystem chooses free loopback addresses and ports and starts the store.
func newSystem(re *record, trouble bool) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	sy := &system{record: re, trouble: trouble, program: filepath.Join(root, "target", "corneltiller")}
	if _, err := os.Stat(sy.program); err != nil {
		return nil, err
	}
	if sy.folder, err = os.MkdirTemp("", "corneltiller-review-"); err != nil {
		return nil, err
	}
	for range 20 {
		sy.net, sy.ports = 20+rand.IntN(200), 20_000+rand.IntN(1000)*portCount
		if sy.store, err = startStore(sy.at(200, 1, portStore)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	sy.fabric = newFabric(sy)
	sy.add("trouble=%v addresses=127.%d.0.0/16 ports from %d", trouble, sy.net, sy.ports)
	return sy, nil
}

// at returns a loopback address of the run.
func (sy *system) at(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(sy.net), byte(third), byte(fourth)}), uint16(sy.ports+port))
}

// close ends everything that the run started.
func (sy *system) close() {
	sy.mu.Lock()
	processes, hosts, clients := sy.processes, sy.hosts, sy.clients
	sy.mu.Unlock()
	sy.fabric.close()
	for _, ho := range hosts {
		ho.close()
	}
	for _, cl := range clients {
		cl.close()
	}
	for _, pr := range processes {
		pr.kill()
	}
	sy.store.close()
	_ = os.RemoveAll(sy.folder)
}

// machine is one machine of the deployment: an entry instance or one beside a host.
type machine struct {
	name, zone, role string
	third, fourth    int
	service          string
}

// process is a process of the project on a machine. Each start is a new one.
type process struct {
	machine
	system *system
	file   string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// Last bytes of the addresses of the first machines of a zone.
const (
	firstSide = 10
	firstEdge = 100
)

// edges starts as many balancers in the zone.
func (sy *system) edges(zone string, third, count int) ([]*process, error) {
	var list []*process
	for i := range count {
		ma := machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, role: "balancer", third: third, fourth: firstEdge + i}
		pr, err := sy.start(ma, true)
		if err != nil {
			return nil, err
		}
		sy.fabric.addNode(ma)
		list = append(list, pr)
	}
	return list, nil
}

// side starts an agent and its host.
func (sy *system) side(zone string, third, number int, service string) (*process, *host, error) {
	ma := machine{name: fmt.Sprintf("side-%s-%d", zone, number), zone: zone, role: "agent", third: third, fourth: firstSide + number, service: service}
	pr, err := sy.start(ma, true)
	if err != nil {
		return nil, nil, err
	}
	ho, err := startHost(sy, ma)
	return pr, ho, err
}

// settings returns the settings file that the platform renders from the templates beside
// the deploy file.
func (sy *system) settings(ma machine, bootstrap bool) map[string]any {
	at := func(port int) string { return sy.at(ma.third, ma.fourth, port).String() }
	st := map[string]any{
		"Name": ma.name, "Domain": ma.zone, "Peers": at(portPeers), "Ready": at(portReady), "Metrics": at(portMetrics),
		"Store":   sy.at(200, 1, portStore).String(),
		"Seeds":   []string{sy.at(1, firstEdge, portControl).String()},
		"Callers": at(portPackets), "Control": at(portControl),
		"FlowLifetime": flowTTL.String(), "StopWithin": grace.String(),
	}
	if ma.role == "agent" {
		st["HostPackets"], st["Backend"], st["Service"] = at(portOutbound), at(portApp), ma.service
		st["FirstStart"], st["HeartbeatInterval"] = bootstrap, heartbeat.String()
	}
	return st
}

// writeSettings writes the machine's settings file.
func (sy *system) writeSettings(ma machine, bootstrap bool) (string, error) {
	path := filepath.Join(sy.folder, ma.name+".json")
	data, err := json.MarshalIndent(sy.settings(ma, bootstrap), "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the machine's process with the command of the deploy file. Its log goes to a
// file in the temporary folder.
func (sy *system) start(ma machine, bootstrap bool) (*process, error) {
	path, err := sy.writeSettings(ma, bootstrap)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(sy.folder, ma.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(sy.program, "platform", ma.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + sy.folder, "CORNELTILLER_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	pr := &process{machine: ma, system: sy, file: path, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		sy.add("process %s (pid %d) ended: %v", ma.name, cmd.Process.Pid, cmd.ProcessState)
		close(pr.ended)
	}()
	sy.add("process %s (pid %d) started", ma.name, cmd.Process.Pid)
	sy.mu.Lock()
	sy.processes = append(sy.processes, pr)
	sy.mu.Unlock()
	return pr, nil
}

// signal sends a signal to the process, if it runs.
func (pr *process) signal(sig syscall.Signal) {
	select {
	case <-pr.ended:
	default:
		pr.system.add("%v sent to %s", sig, pr.name)
		_ = pr.cmd.Process.Signal(sig)
	}
}

// waitEnd waits until the process has ended. It reports false after the timeout.
func (pr *process) waitEnd(timeout time.Duration) bool {
	select {
	case <-pr.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (pr *process) stop() {
	pr.signal(syscall.SIGTERM)
	if !pr.waitEnd(grace) {
		pr.kill()
	}
}

func (pr *process) kill() {
	select {
	case <-pr.ended:
		return
	default:
	}
	_ = pr.cmd.Process.Signal(syscall.SIGCONT)
	_ = pr.cmd.Process.Kill()
	<-pr.ended
}

// listen opens a UDP socket.
func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err == nil {
		_ = conn.SetReadBuffer(1 << 20)
	}
	return conn, err
}
