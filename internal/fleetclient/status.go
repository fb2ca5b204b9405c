package fleetclient

import (
	"context"
	"slices"
	"sync"

	"weldscale/coordination/lease"
	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

// ControllerStatus is what a controller tells of itself and the fleet. The fields are those of its answer at
// fleetwire.PathStatus.
type ControllerStatus struct {
	Member      fleetwire.Member
	Revision    uint64 // of the register
	Version     int64  // of the current configuration
	Changes     uint64 // configurations taken so far
	Replicas    []string
	Live        []string
	Roles       map[string]lease.Record
	Held        []string // roles in which it may act now
	List        fleetwire.ListVersion
	Instances   int
	ListAgeMs   int64
	QuorumAgeMs int64
	Routers     int
}

// Probe is the outcome of asking one process for its status.
type Probe struct {
	Address string // internal address, IP:PORT
	Status  ControllerStatus
	Err     error
}

// Survey asks the controllers at these internal addresses for their status, and those that they name, all at once. The
// probes come in order of their address.
func Survey(ctx context.Context, addresses []string) []Probe {
	survey := survey{client: transport.NewClient(), asked: make(map[string]bool)}
	defer survey.client.Close()
	survey.ask(ctx, addresses)
	survey.running.Wait()
	slices.SortFunc(survey.probes, func(a, b Probe) int { return compareAddresses(a.Address, b.Address) })
	return survey.probes
}

type survey struct {
	client  *transport.Client
	running sync.WaitGroup

	mutex  sync.Mutex
	asked  map[string]bool
	probes []Probe
}

// ask starts a probe of each address that has not been asked yet.
func (s *survey) ask(ctx context.Context, addresses []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range addresses {
		if address == "" || s.asked[address] {
			continue
		}
		s.asked[address] = true
		s.running.Go(func() { s.probe(ctx, address) })
	}
}

func (s *survey) probe(ctx context.Context, address string) {
	probe := Probe{Address: address}
	probe.Err = s.client.Call(ctx, address, fleetwire.PathStatus, struct{}{}, &probe.Status)
	if probe.Err == nil {
		s.ask(ctx, slices.Concat(probe.Status.Replicas, probe.Status.Live))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.probes = append(s.probes, probe)
}
