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

// Process runs one program on one machine of the fleet. It may be started again after it has exited.
type Process struct {
	Name string
	IP   string

	programPath  string
	settingsPath string
	passLog      bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has exited
	err     error         // result of exec.Cmd.Wait
	logFile *os.File
}

// newProcess writes the settings file of a program on the i-th machine of a class. It does not start the program.
func (f *Fleet) newProcess(program, class string, i, firstIP int) (*Process, error) {
	ip := fmt.Sprintf("%s.%d", f.subnet, firstIP+i)
	name := fmt.Sprintf("%s-%d", program, i+1)
	nodeSettings := f.settingsOf(class, ip, i)
	nodeSettings.NodeName, nodeSettings.Role = fmt.Sprintf("%s-%d", class, i+1), program
	if class == "core" {
		nodeSettings.DataDir = f.path(name + "-data")
		if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
			return nil, err
		}
	}
	text, err := json.MarshalIndent(nodeSettings, "", "  ")
	if err != nil {
		return nil, err
	}
	process := &Process{Name: name, IP: ip, programPath: filepath.Join(f.options.Programs, program),
		settingsPath: f.path(name + ".json"), passLog: f.options.Log}
	return process, os.WriteFile(process.settingsPath, text, 0o644)
}

func (f *Fleet) settingsOf(class, ip string, i int) settings.Settings {
	nodeSettings := settings.Settings{
		MachineClass: class, IP: ip, Zone: f.zone(i), Region: "here", Zones: map[string]string{},
		InternalPorts: [2]int{portInternal, portLast}, Bootstrap: true, CountsForQuorum: class == "core",
		Limits:    settings.Limits{CPUShare: 1, Cores: 1, MemoryMb: 256, MaxFds: 4096, LinkMbps: 1000, DiskMb: 128},
		Discovery: "cloud_api", Entry: "vip", HeartbeatMs: 1200,
		FaultTolerance: settings.FaultTolerance{Machines: (f.options.Controllers - 1) / 2},
		Bounds:         settings.DefaultBounds(),
		Cloud: settings.Cloud{Address: f.Platform.Address(), RatePerS: f.options.ListRate,
			MaxLagMs: float64(f.options.ListLag.Milliseconds())},
	}
	nodeSettings.Bounds.Fencing, nodeSettings.Bounds.BudgetSlack = true, float64(f.options.Bounds.RetrySlack)
	nodeSettings.Bounds.DrainMs = float64(f.options.Bounds.DrainWithin.Milliseconds())
	for _, zone := range f.options.Zones {
		nodeSettings.Zones[zone] = "here"
	}
	for seed := range min(3, f.options.Controllers) {
		nodeSettings.Seeds = append(nodeSettings.Seeds, address(fmt.Sprintf("%s.%d", f.subnet, firstController+seed), portControl))
	}
	if class == "core" {
		nodeSettings.Serves = []string{settings.ServesControl}
		nodeSettings.Listen.Control = address(ip, portControl)
	} else {
		nodeSettings.Serves = []string{settings.ServesFrontend}
		nodeSettings.Listen.Frontend, nodeSettings.Listen.Readiness = address(ip, portFrontend), address(ip, portReadiness)
	}
	return nodeSettings
}

// Start starts the program.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.programPath)
	p.command.Env = append(os.Environ(), settings.EnvVariable+"="+p.settingsPath)
	p.command.Stderr, p.command.Stdout = logFile, logFile
	if p.passLog {
		p.command.Stderr = os.Stderr
	}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives a test that is killed
	p.ended, p.logFile = make(chan struct{}), logFile
	if err := p.command.Start(); err != nil {
		_ = logFile.Close()
		close(p.ended)
		return err
	}
	go p.awaitExit(p.command, p.ended, logFile)
	return nil
}

func (p *Process) awaitExit(command *exec.Cmd, ended chan struct{}, logFile *os.File) {
	err := command.Wait()
	_ = logFile.Close()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

// PID returns the id of the process started last, or 0 if there is none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return errors.New("not started")
	}
	return p.command.Process.Signal(signal)
}

// Terminate sends SIGTERM and waits for the process to exit. It returns the exit error, or an error if the process takes longer
// than within.
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
		return fmt.Errorf("%s is still running %v after SIGTERM", p.Name, within)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.Ended()
	}
}

// Ended returns a channel that is closed once the process has exited.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Log returns the contents of the program's log file.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.settingsPath + ".log")
	return string(text)
}
