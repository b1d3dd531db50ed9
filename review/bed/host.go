package bed

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Host is one host process, started as the deploy file says.
type Host struct {
	Name string
	IP   string
	Zone string

	// Links to this host's peer address and to its callers' address, if the deployment has them.
	Peer, Front *Link

	bed          *Bed
	settingsFile string
	logFile      *os.File
	command      *exec.Cmd
}

// Ports of a host; the same on all hosts, as each has its own address.
const (
	portFront     = 8161
	portReadiness = 8167
	portPeer      = 7720
	lastPeerPort  = 7735
)

// FrontURL returns the base URL for callers.
func (h *Host) FrontURL() string { return fmt.Sprintf("http://%s:%d", h.IP, portFront) }

// Start starts the process.
func (h *Host) Start() error {
	h.command = exec.Command("target/rosemarywalk", "serve", "--edition", "platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.bed.dir, "ROSEMARYWALK_SETTINGS=" + h.settingsFile}
	h.command.Stdout, h.command.Stderr = h.logFile, h.logFile
	if err := h.command.Start(); err != nil {
		return err
	}
	h.bed.Record.Add("%s started", h.Name)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.bed.Record.Add("%s gets %s", h.Name, s)
	_ = h.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = h.command.Wait()
	}
}

// kill ends the process.
func (h *Host) kill() {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
	}
	_ = h.logFile.Close()
}

// ready reports whether the readiness check succeeds.
func (h *Host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", h.IP, portReadiness))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings fills in the template of the deploy file.
func (h *Host) writeSettings() error {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	text := render(string(template), map[string]string{
		"node_name":                   h.Name,
		"zone":                        h.Zone,
		"ip":                          h.IP,
		"internal_ports.0":            fmt.Sprint(portPeer),
		"limits.cores":                "1",
		"limits.cpu_share":            "0.4",
		"limits.memory_mb":            "284",
		"listen_addrs.front":          fmt.Sprintf("%s:%d", h.IP, portFront),
		"listen_addrs.readiness_addr": fmt.Sprintf("%s:%d", h.IP, portReadiness),
		"bounds.grace_s":              "6",
		"bounds.max_hold_ms":          "1000",
		"bounds.retransmit_ms":        "1300",
		"platform.address":            h.bed.storeAddress,
	})
	if h.Peer != nil {
		text = strings.Replace(text, "[peer]\n", "[peer]\nadvertise = "+h.Peer.Address()+"\n", 1)
	}
	h.settingsFile = filepath.Join(h.bed.dir, h.Name+".ini")
	return os.WriteFile(h.settingsFile, []byte(text), 0o600)
}
