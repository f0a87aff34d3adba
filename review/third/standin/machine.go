package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portInner    = 7720
	portApp      = 8165
	portControl  = 8166
	portReady    = 8167
	portOutbound = 8162
	portPackets  = 8172
)

// Figures of the deployment, as the settings on the platform's pages have them.
const (
	heartbeat  = 1200 * time.Millisecond
	graceTime  = 6 * time.Second
	flowTTL    = 60 * time.Second
	configTime = 3000 * time.Millisecond
	recovery   = 12 * time.Second
	history    = 20 * time.Second
)

// program is the program that the deploy file's build makes.
const program = "target/corneltiller"

// machine is a machine with a process of the project.
type machine struct {
	re         *record
	folder     string
	name, zone string
	// role is "balancer" or "agent".
	role string
	ip   netip.Addr
	// service is that of the host of a side machine.
	service string
	store   netip.AddrPort
	seeds   []netip.AddrPort

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// at returns the machine's address with the port.
func (ma *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(ma.ip, port) }

var (
	seedsSection    = regexp.MustCompile(`\{\{#seeds\}\}.*?\{\{/seeds\}\}`)
	evacuateSection = regexp.MustCompile(`\{\{#bounds\.evacuate_ms\}\}.*?\{\{/bounds\.evacuate_ms\}\}`)
)

// settings returns the settings of the process: the deploy file's template, filled in. The
// evacuation bound is left out, as in the settings of a deployment without it.
func (ma *machine) settings(firstStart bool) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", ma.role+".json"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, address := range ma.seeds {
		seeds = append(seeds, `"`+address.String()+`"`)
	}
	filled := seedsSection.ReplaceAllString(string(text), strings.Join(seeds, ","))
	filled = evacuateSection.ReplaceAllString(filled, "")
	filled = strings.NewReplacer(
		"{{node_name}}", ma.name, "{{zone}}", ma.zone, "{{ip}}", ma.ip.String(), "{{port_range.0}}", fmt.Sprint(portInner),
		"{{bind.readiness_addr}}", ma.at(portReady).String(), "{{bind.datagram_addr}}", ma.at(portPackets).String(),
		"{{bind.outbound}}", ma.at(portOutbound).String(), "{{bind.control_plane}}", ma.at(portControl).String(),
		"{{platform.address}}", ma.store.String(), "{{app}}", ma.at(portApp).String(), "{{service}}", ma.service,
		"{{bootstrap}}", fmt.Sprint(firstStart), "{{heartbeat_ms}}", fmt.Sprint(heartbeat.Milliseconds()),
		"{{bounds.flow_ttl_s}}", fmt.Sprint(int(flowTTL.Seconds())), "{{bounds.grace_s}}", fmt.Sprint(int(graceTime.Seconds())),
	).Replace(filled)
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("settings of %s: a placeholder is left", ma.name)
	}
	return filled, nil
}

// start starts the process.
func (ma *machine) start(firstStart bool) error {
	text, err := ma.settings(firstStart)
	if err != nil {
		return err
	}
	path := filepath.Join(ma.folder, ma.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(ma.folder, ma.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	co := exec.Command(program, "platform", ma.role)
	co.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + ma.folder, "CORNELTILLER_SETTINGS=" + path}
	co.Stdout, co.Stderr = log, log
	if err := co.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	ma.mu.Lock()
	ma.command, ma.exited = co, exited
	ma.mu.Unlock()
	ma.re.write("%s: process started", ma.name)
	go func() {
		err := co.Wait()
		ma.re.write("%s: process ended: %v", ma.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (ma *machine) signal(sig syscall.Signal) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.command != nil {
		_ = ma.command.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (ma *machine) kill() {
	ma.mu.Lock()
	co, exited := ma.command, ma.exited
	ma.command = nil
	ma.mu.Unlock()
	if co == nil {
		return
	}
	_ = co.Process.Signal(syscall.SIGCONT)
	_ = co.Process.Kill()
	<-exited
}

// ready reports whether the process answers the platform's readiness probe with 200.
func (ma *machine) ready() bool {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Get("http://" + ma.at(portReady).String() + "/v1/ready")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}
