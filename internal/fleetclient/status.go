package fleetclient

import (
	"context"
	"slices"
	"sync"

	"weldscale/coordination/lease"
	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

// ControllerStatus is a controller's status and its view of the fleet. The fields are those of its reply at
// fleetwire.PathStatus.
type ControllerStatus struct {
	Member      fleetwire.Member
	Revision    uint64 // of the register
	Version     int64  // of the current configuration
	Changes     uint64 // number of configurations accepted so far
	Replicas    []string
	Live        []string
	Roles       map[string]lease.Record
	Held        []string // roles that the controller holds now
	List        fleetwire.ListVersion
	Instances   int
	ListAgeMs   int64
	QuorumAgeMs int64
	Routers     int
}

// Probe is the result of a status request to one controller.
type Probe struct {
	Address string // internal address, IP:PORT
	Status  ControllerStatus
	Err     error
}

// Survey requests the status of the controllers at the given internal addresses, and of all controllers that their replies
// list, concurrently. It returns one probe per address, sorted by address.
func Survey(ctx context.Context, addresses []string) []Probe {
	survey := survey{client: transport.NewClient(), probed: make(map[string]bool)}
	defer survey.client.Close()
	survey.start(ctx, addresses)
	survey.running.Wait()
	slices.SortFunc(survey.probes, func(a, b Probe) int { return compareAddresses(a.Address, b.Address) })
	return survey.probes
}

// survey is the state of one call of Survey.
type survey struct {
	client  *transport.Client
	running sync.WaitGroup

	mutex  sync.Mutex
	probed map[string]bool
	probes []Probe
}

// start starts a probe of each address that has not been probed yet.
func (s *survey) start(ctx context.Context, addresses []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range addresses {
		if address == "" || s.probed[address] {
			continue
		}
		s.probed[address] = true
		s.running.Go(func() { s.probe(ctx, address) })
	}
}

func (s *survey) probe(ctx context.Context, address string) {
	probe := Probe{Address: address}
	probe.Err = s.client.Call(ctx, address, fleetwire.PathStatus, struct{}{}, &probe.Status)
	if probe.Err == nil {
		s.start(ctx, slices.Concat(probe.Status.Replicas, probe.Status.Live))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.probes = append(s.probes, probe)
}
