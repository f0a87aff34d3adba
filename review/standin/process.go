package main

import (
	"encoding/json"
	"fmt"
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

// restartDelay is the time from the end of a process to its next start.
const restartDelay = 500 * time.Millisecond

// process is a balancer or an agent, run as the deploy file says.
type process struct {
	rec            *record
	name, zone     string
	role, template string
	ip             string
	peers, ready   netip.AddrPort
	callers        netip.AddrPort
	control        netip.AddrPort
	outbound, app  netip.AddrPort
	service        string
	seeds          []string
	folder         string

	mu        sync.Mutex
	store     string
	first     bool
	lost      bool
	cmd       *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

// settings returns the values that the platform fills into the template.
func (pr *process) settings() map[string]string {
	seeds, _ := json.Marshal(pr.seeds)
	return map[string]string{
		"node_name": pr.name, "zone": pr.zone, "ip": pr.ip, "port_range.0": fmt.Sprint(pr.peers.Port()),
		"bind.readiness_addr": pr.ready.String(), "bind.datagram_addr": pr.callers.String(),
		"bind.control_plane": pr.control.String(), "bind.outbound": pr.outbound.String(),
		"platform.address": pr.store, "app": pr.app.String(), "service": pr.service,
		"bootstrap": fmt.Sprint(pr.first), "heartbeat_ms": fmt.Sprint(heartbeat.Milliseconds()),
		"bounds.grace_s": "6", "bounds.flow_ttl_s": "60", "seeds": strings.Trim(string(seeds), "[]"),
	}
}

var (
	sections     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// writeSettings renders the template into the settings file. It is called with mu held.
func (pr *process) writeSettings() error {
	text, err := os.ReadFile(pr.template)
	if err != nil {
		return err
	}
	values := pr.settings()
	out := sections.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sections.FindStringSubmatch(section)
		value, given := values[parts[1]]
		switch {
		case !given:
			return ""
		case parts[1] == "seeds":
			return value
		default:
			return strings.ReplaceAll(parts[2], "{{.}}", value)
		}
	})
	out = placeholders.ReplaceAllStringFunc(out, func(word string) string {
		return values[strings.Trim(word, "{}")]
	})
	return os.WriteFile(pr.file(), []byte(out), 0o600)
}

func (pr *process) file() string { return filepath.Join(pr.folder, pr.name+".json") }

// setStore replaces the store's address in the settings file, without a signal.
func (pr *process) setStore(address string) error {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.store = address
	return pr.writeSettings()
}

// start starts the process, and again whenever it ends, until it is lost.
func (pr *process) start() error {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.lost {
		return nil
	}
	if err := pr.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(pr.folder, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/corneltiller", "platform", pr.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + pr.folder, "CORNELTILLER_SETTINGS=" + pr.file()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	pr.cmd, pr.ended, pr.first, pr.startedAt = cmd, make(chan struct{}), false, time.Now()
	go func(ended chan struct{}) {
		cmd.Wait()
		log.Close()
		close(ended)
		time.Sleep(restartDelay)
		pr.start()
	}(pr.ended)
	return nil
}

// signal sends a signal to the process. A lost process isn't started again.
func (pr *process) signal(sig syscall.Signal, lost bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lost = pr.lost || lost
	if pr.cmd != nil {
		pr.cmd.Process.Signal(sig)
	}
	pr.rec.printf("%s gets %s (lost: %t)", pr.name, sig, lost)
}

// end kills the process and waits for its end.
func (pr *process) end() {
	pr.mu.Lock()
	pr.lost = true
	cmd, ended := pr.cmd, pr.ended
	pr.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-ended
}
