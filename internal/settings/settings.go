// Package settings reads the settings file that the platform writes for each process of the fleet, and watches it for
// changes. Keys that this package does not know are ignored; keys that a process needs are checked.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

// EnvVariable is the environment variable that holds the path of the settings file.
const EnvVariable = "WELDSCALE_CONFIG"

// What a role may serve.
const (
	ServesFrontend = "frontend"
	ServesControl  = "control_plane"
)

// Settings is the settings file of one process. It is not changed after it has been read.
type Settings struct {
	NodeName        string
	Role            string
	MachineClass    string
	Serves          []string
	IP              string `json:"Ip"`
	Zone            string
	Region          string            // empty where there are no regions
	Zones           map[string]string // region by zone
	Listen          Listen
	InternalPorts   [2]int   // first and last port that the machine keeps free for the fleet
	Seeds           []string // Control addresses of some controllers, IP:PORT
	Bootstrap       bool     // the whole fleet starts for the first time
	CountsForQuorum bool
	Limits          Limits
	DataDir         string // empty on a machine without a disk
	Discovery       string
	Entry           string
	HeartbeatMs     float64
	Contracts       []string
	FaultTolerance  FaultTolerance
	Bounds          Bounds
	Cloud           Cloud

	body []byte // the file as it was read
}

// Listen holds the addresses (IP:PORT) for what the role serves. Those of other roles are empty.
type Listen struct {
	Frontend  string
	Readiness string
	Control   string
}

// Limits is what the machine grants the process.
type Limits struct {
	CPUShare float64 `json:"CpuShare"`
	Cores    float64
	MemoryMb float64
	MaxFds   int
	LinkMbps float64
	DiskMb   float64
}

// FaultTolerance is the number of machines that count, zones or regions that may be lost at once.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Cloud says how the platform's list of instances is read.
type Cloud struct {
	Address  string // IP:PORT
	RatePerS float64
	MaxLagMs float64
	Duties   json.RawMessage
}

// Load reads the file that the environment variable names.
func Load() (*Settings, error) {
	path := os.Getenv(EnvVariable)
	if path == "" {
		return nil, eris.Errorf("%s is not set", EnvVariable)
	}
	return LoadFile(path)
}

// LoadFile reads the settings file at path.
func LoadFile(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	parsed, err := Parse(body)
	return parsed, eris.Wrapf(err, "settings %s", path)
}

// Parse reads settings from the bytes of a file and checks what every program needs.
func Parse(body []byte) (*Settings, error) {
	parsed := &Settings{Bounds: DefaultBounds(), body: body}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, plainError(body, err)
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// plainError turns an error of the JSON decoder into one that names the key.
func plainError(body []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return eris.Errorf("%s: a %s is not expected here", wrongType.Field, wrongType.Value)
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return eris.New("the file is empty")
	}
	return eris.Errorf("not valid JSON: %v", err)
}

// check looks at the keys that every program needs.
func (s *Settings) check() error {
	if s.NodeName == "" {
		return missing("NodeName")
	}
	if s.IP == "" {
		return missing("Ip")
	}
	if address, err := netip.ParseAddr(s.IP); err != nil || address.Zone() != "" {
		return eris.Errorf("Ip: %q is not an IP address", s.IP)
	}
	if s.Zone == "" {
		return missing("Zone")
	}
	if err := s.checkPorts(); err != nil {
		return err
	}
	for i, seed := range s.Seeds {
		if err := checkAddress("Seeds["+strconv.Itoa(i)+"]", seed); err != nil {
			return err
		}
	}
	return s.Bounds.check()
}

// agentPortOffset is the distance of the agent's port, which only its router uses, from the first internal port.
const agentPortOffset = 1

func (s *Settings) checkPorts() error {
	first, last := s.InternalPorts[0], s.InternalPorts[1]
	if first == 0 && last == 0 {
		return missing("InternalPorts")
	}
	if first < 1 || last > 65535 || first+agentPortOffset > last {
		return eris.Errorf("InternalPorts: [%d, %d] is not a range of two ports or more", first, last)
	}
	return nil
}

// CheckFrontend checks the keys that a router needs besides.
func (s *Settings) CheckFrontend() error {
	if err := checkAddress("Listen.Frontend", s.Listen.Frontend); err != nil {
		return err
	}
	return checkAddress("Listen.Readiness", s.Listen.Readiness)
}

// CheckControl checks the keys that a controller needs besides.
func (s *Settings) CheckControl() error {
	if err := checkAddress("Listen.Control", s.Listen.Control); err != nil {
		return err
	}
	if s.DataDir == "" {
		return missing("DataDir")
	}
	return checkAddress("Cloud.Address", s.Cloud.Address)
}

func checkAddress(key, address string) error {
	if address == "" {
		return missing(key)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return eris.Errorf("%s: %q is not IP:PORT", key, address)
	}
	return nil
}

func missing(key string) error { return eris.Errorf("%s: missing", key) }

// InternalAddress is the address at which the process on this machine listens for the rest of the fleet.
func (s *Settings) InternalAddress() string { return internalAddress(s.IP, s.InternalPorts[0]) }

// loopbackIP is the address of the machine that only its own processes reach.
const loopbackIP = "127.0.0.1"

// AgentAddress is the loopback address at which the agent of this machine feeds its router. A machine whose own IP is a
// loopback address is one of several on a real machine: its agent listens at that IP, so that they don't clash.
func (s *Settings) AgentAddress() string {
	ip := loopbackIP
	if netip.MustParseAddr(s.IP).IsLoopback() {
		ip = s.IP
	}
	return internalAddress(ip, s.InternalPorts[0]+agentPortOffset)
}

// SeedInternalAddresses returns the internal addresses of the seeds. Ports are alike on all machines, so these are the
// seeds' IPs with the first internal port.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		ip := netip.MustParseAddrPort(seed).Addr().String()
		addresses = append(addresses, internalAddress(ip, s.InternalPorts[0]))
	}
	return addresses
}

func internalAddress(ip string, port int) string {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port)).String()
}
