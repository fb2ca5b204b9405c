// Package settings reads the settings file that the platform writes for each process of the fleet, and watches it for
// changes. It ignores unknown keys and validates the keys that a process needs.
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

// Values of Settings.Serves.
const (
	ServesFrontend = "frontend"
	ServesControl  = "control_plane"
)

// Settings holds the settings file of one process. It must not be modified after it has been read.
type Settings struct {
	NodeName        string
	Role            string
	MachineClass    string
	Serves          []string
	IP              string `json:"Ip"`
	Zone            string
	Region          string            // empty without regions
	Zones           map[string]string // maps zones to their regions
	Listen          Listen
	InternalPorts   [2]int   // first and last port of the range reserved for the fleet
	Seeds           []string // Control addresses of some controllers, IP:PORT
	Bootstrap       bool     // set on the first start of the whole fleet
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

	body []byte // content of the file
}

// Listen holds the listen addresses (IP:PORT) of the role. Addresses of other roles are empty.
type Listen struct {
	Frontend  string
	Readiness string
	Control   string
}

// Limits holds the resource limits of the process.
type Limits struct {
	CPUShare float64 `json:"CpuShare"`
	Cores    float64
	MemoryMb float64
	MaxFds   int
	LinkMbps float64
	DiskMb   float64
}

// FaultTolerance holds the number of machines (that count for the quorum), zones or regions that may fail at the same time.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Cloud holds the address and limits of the platform's list of instances.
type Cloud struct {
	Address  string // IP:PORT
	RatePerS float64
	MaxLagMs float64
	Duties   json.RawMessage
}

// Load reads the settings file whose path is in the environment variable EnvVariable.
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

// Parse decodes the content of a settings file and validates the keys that every program needs.
func Parse(body []byte) (*Settings, error) {
	parsed := &Settings{Bounds: DefaultBounds(), body: body}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, decodeError(body, err)
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// decodeError returns a one-line description of an error of the JSON decoder, with the key if it is known.
func decodeError(body []byte, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return eris.Errorf("%s: unexpected %s", typeError.Field, typeError.Value)
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return eris.New("the file is empty")
	}
	return eris.Errorf("not valid JSON: %v", err)
}

// check validates the keys that every program needs.
func (s *Settings) check() error {
	if s.NodeName == "" {
		return missingKey("NodeName")
	}
	if s.IP == "" {
		return missingKey("Ip")
	}
	if address, err := netip.ParseAddr(s.IP); err != nil || address.Zone() != "" {
		return eris.Errorf("Ip: %q is not an IP address", s.IP)
	}
	if s.Zone == "" {
		return missingKey("Zone")
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

// agentPortOffset is the offset of the agent's port from the first internal port. Only the agent's router uses that port.
const agentPortOffset = 1

func (s *Settings) checkPorts() error {
	first, last := s.InternalPorts[0], s.InternalPorts[1]
	if first == 0 && last == 0 {
		return missingKey("InternalPorts")
	}
	if first < 1 || last > 65535 || first+agentPortOffset > last {
		return eris.Errorf("InternalPorts: [%d, %d] is not a range of two ports or more", first, last)
	}
	return nil
}

// CheckFrontend validates the additional keys that a router needs.
func (s *Settings) CheckFrontend() error {
	if err := checkAddress("Listen.Frontend", s.Listen.Frontend); err != nil {
		return err
	}
	return checkAddress("Listen.Readiness", s.Listen.Readiness)
}

// CheckControl validates the additional keys that a controller needs.
func (s *Settings) CheckControl() error {
	if err := checkAddress("Listen.Control", s.Listen.Control); err != nil {
		return err
	}
	if s.DataDir == "" {
		return missingKey("DataDir")
	}
	return checkAddress("Cloud.Address", s.Cloud.Address)
}

func checkAddress(key, address string) error {
	if address == "" {
		return missingKey(key)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return eris.Errorf("%s: %q is not IP:PORT", key, address)
	}
	return nil
}

func missingKey(key string) error { return eris.Errorf("%s: missing", key) }

// InternalAddress returns the address at which the process on this machine listens for the rest of the fleet.
func (s *Settings) InternalAddress() string { return internalAddress(s.IP, s.InternalPorts[0]) }

// loopbackIP is the default loopback address.
const loopbackIP = "127.0.0.1"

// AgentAddress returns the loopback address at which the agent of this machine serves its router. If the machine's own IP is
// a loopback address, several machines of the fleet share one host. The agent then listens at that IP to avoid port conflicts.
func (s *Settings) AgentAddress() string {
	ip := loopbackIP
	if netip.MustParseAddr(s.IP).IsLoopback() {
		ip = s.IP
	}
	return internalAddress(ip, s.InternalPorts[0]+agentPortOffset)
}

// SeedInternalAddresses returns the internal addresses of the seeds. All machines use the same internal ports, so these are
// the IPs of the seeds with the first internal port.
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
