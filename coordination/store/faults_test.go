package store

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim"
	"weldscale/coordination/sim/simtest"
)

// simulation saves versions on a simulated disk with faults. Its process can end at any moment.
type simulation struct {
	world        *sim.World
	machine      *sim.Machine
	store        *FileStore
	acknowledged int // newest version that a Save acknowledged or a Load returned
	attempted    int // newest version that was given to Save
	full, failed int // numbers of operations that ended with ErrFull and with ErrIO
}

func encodeNumber(number int) []byte { return []byte{byte(number >> 8), byte(number), 0xff, 0xff} }

func decodeNumber(data []byte) int { return int(data[0])<<8 | int(data[1]) }

// start starts a process and checks that its store loads the acknowledged version or a newer one.
func (s *simulation) start() error {
	var violation error
	s.machine.Start(func(process *sim.Process) {
		s.store = Open(process.Disk().Files(), "record")
		data, err := s.store.Load()
		if eris.Is(err, ErrIO) {
			s.failed++ // a store that cannot be loaded must not be used
			return
		}
		loaded := 0
		if err == nil {
			loaded = decodeNumber(data)
		}
		if loaded < s.acknowledged || loaded > s.attempted {
			violation = eris.Errorf("loaded version %d (%v), acknowledged version %d, attempted version %d", loaded, err, s.acknowledged, s.attempted)
		}
		s.acknowledged = loaded // a version that was loaded once must not be lost
	})
	return violation
}

// save submits an operation that saves the next version.
func (s *simulation) save() {
	process := s.machine.Process()
	s.attempted++
	number, store := s.attempted, s.store
	process.Disk().Submit(process, func(*sim.Files) error { return store.Save(encodeNumber(number)) }, func(err error) {
		switch {
		case err == nil:
			s.acknowledged = max(s.acknowledged, number)
		case eris.Is(err, ErrFull):
			s.full++
		default:
			s.failed++
		}
	})
}

// injectFault injects a random fault or lets time pass. The disk ignores syncs if ignoreSyncs is set.
func (s *simulation) injectFault(ignoreSyncs bool) {
	files := s.machine.Disk().Files()
	files.IgnoreSyncs = ignoreSyncs
	switch s.world.IntN(5) {
	case 0:
		files.Full = !files.Full
	case 1:
		files.FailSyncs = !files.FailSyncs
	case 2:
		s.machine.Kill()
	case 3:
		s.machine.LosePower()
	default:
		s.world.Run(s.world.Between(0, sim.DefaultMaxDiskLatency))
	}
}

// run saves versions under faults. It returns an error if the store has lost an acknowledged version.
func (s *simulation) run(ignoreSyncs bool) error {
	for range 120 {
		if !s.machine.Up() {
			if err := s.start(); err != nil {
				return err
			}
		}
		s.save()
		s.world.Run(s.world.Between(0, sim.DefaultMaxDiskLatency))
		s.injectFault(ignoreSyncs)
	}
	return nil
}

func newSimulation(seed uint64) *simulation {
	world := sim.New(seed)
	return &simulation{world: world, machine: world.AddMachine("a")}
}

// A full or failing disk, a killed process or a power loss at any moment must never lose an acknowledged version.
func TestSavedVersionsSurviveDiskFaults(t *testing.T) {
	var acknowledged, full, failed int
	simtest.Run(t, simtest.Seeds{Fixed: 300, Fresh: 100}, func(t *testing.T, seed uint64) {
		s := newSimulation(seed)
		require.NoError(t, s.run(false))
		acknowledged, full, failed = acknowledged+s.acknowledged, full+s.full, failed+s.failed
	})
	require.Positive(t, acknowledged)
	require.Positive(t, full)
	require.Positive(t, failed)
}

// The simulation must detect a disk that acknowledges syncs without performing them.
func TestIgnoredSyncsAreDetected(t *testing.T) {
	for seed := range uint64(50) {
		if err := newSimulation(seed).run(true); err != nil {
			t.Logf("detected with seed %d: %v", seed, err)
			return
		}
	}
	require.Fail(t, "no seed detected the ignored syncs")
}

func TestFullDiskRejectsSaveAndKeepsOldVersion(t *testing.T) {
	machine := sim.New(1).AddMachine("a")
	files := machine.Disk().Files()
	store := Open(files, "record")
	require.NoError(t, store.Save([]byte("old")))
	files.Full = true
	require.ErrorIs(t, store.Save([]byte("no room")), ErrFull)
	files.Full, files.FailSyncs = false, true
	require.ErrorIs(t, store.Save([]byte("in doubt")), ErrIO)
	files.FailSyncs = false
	require.NoError(t, store.Save([]byte("room")))
	machine.LosePower()
	data, err := Open(files, "record").Load()
	require.NoError(t, err)
	require.Equal(t, "room", string(data))
	machine.Wipe()
	_, err = Open(machine.Disk().Files(), "record").Load()
	require.ErrorIs(t, err, ErrNotFound)
}
