package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/settings"
)

// Process is one program on one machine of the fleet. It may be started again after its end.
type Process struct {
	Name string
	IP   string

	program  string
	settings string // path of its settings file
	passLog  bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	err     error         // how it ended
	logFile *os.File
}

// newProcess writes the settings of the i-th machine of a class.
func (f *Fleet) newProcess(program, class string, i, firstIP int) (*Process, error) {
	ip := fmt.Sprintf("%s.%d", f.subnet, firstIP+i)
	name := fmt.Sprintf("%s-%d", program, i+1)
	given := f.settingsOf(class, ip, i)
	given.NodeName, given.Role = fmt.Sprintf("%s-%d", class, i+1), program
	if class == "core" {
		given.DataDir = f.path(name + "-data")
		if err := os.MkdirAll(given.DataDir, 0o755); err != nil {
			return nil, err
		}
	}
	text, err := json.MarshalIndent(given, "", "  ")
	if err != nil {
		return nil, err
	}
	process := &Process{Name: name, IP: ip, program: filepath.Join(f.options.Programs, program), settings: f.path(name + ".json"),
		passLog: f.options.Log}
	return process, os.WriteFile(process.settings, text, 0o644)
}

func (f *Fleet) settingsOf(class, ip string, i int) settings.Settings {
	given := settings.Settings{
		MachineClass: class, IP: ip, Zone: f.zone(i), Region: "here", Zones: map[string]string{},
		InternalPorts: [2]int{portInternal, portLast}, Bootstrap: true, CountsForQuorum: class == "core",
		Limits:    settings.Limits{CPUShare: 1, Cores: 1, MemoryMb: 256, MaxFds: 4096, LinkMbps: 1000, DiskMb: 128},
		Discovery: "cloud_api", Entry: "vip", HeartbeatMs: 1200,
		FaultTolerance: settings.FaultTolerance{Machines: (f.options.Controllers - 1) / 2},
		Bounds:         settings.DefaultBounds(),
		Cloud: settings.Cloud{Address: f.Platform.Address(), RatePerS: f.options.ListRate,
			MaxLagMs: float64(f.options.ListLag.Milliseconds())},
	}
	given.Bounds.Fencing, given.Bounds.BudgetSlack = true, float64(f.options.Bounds.RetrySlack)
	given.Bounds.DrainMs = float64(f.options.Bounds.DrainWithin.Milliseconds())
	for _, zone := range f.options.Zones {
		given.Zones[zone] = "here"
	}
	for seed := range min(3, f.options.Controllers) {
		given.Seeds = append(given.Seeds, address(fmt.Sprintf("%s.%d", f.subnet, firstController+seed), portControl))
	}
	if class == "core" {
		given.Serves = []string{settings.ServesControl}
		given.Listen.Control = address(ip, portControl)
	} else {
		given.Serves = []string{settings.ServesFrontend}
		given.Listen.Frontend, given.Listen.Readiness = address(ip, portFrontend), address(ip, portReadiness)
	}
	return given
}

// Start starts the program.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.program)
	p.command.Env = append(os.Environ(), settings.EnvVariable+"="+p.settings)
	p.command.Stderr, p.command.Stdout = logFile, logFile
	if p.passLog {
		p.command.Stderr = os.Stderr
	}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a test that is killed
	p.ended, p.logFile = make(chan struct{}), logFile
	if err := p.command.Start(); err != nil {
		_ = logFile.Close()
		close(p.ended)
		return err
	}
	go p.await(p.command, p.ended, logFile)
	return nil
}

func (p *Process) await(command *exec.Cmd, ended chan struct{}, logFile *os.File) {
	err := command.Wait()
	_ = logFile.Close()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

// PID returns the id of the running process, or 0 before the start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal.
func (p *Process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return errors.New("not started")
	}
	return p.command.Process.Signal(signal)
}

// Terminate sends SIGTERM and waits for an orderly end within the span.
func (p *Process) Terminate(within time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-p.Ended():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-timer.C:
		return fmt.Errorf("%s is still there %v after SIGTERM", p.Name, within)
	}
}

// Kill ends it at once and waits until it is gone.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.Ended()
	}
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Log returns what the program has logged.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.settings + ".log")
	return string(text)
}
