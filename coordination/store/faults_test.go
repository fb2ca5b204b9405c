package store

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim"
	"weldscale/coordination/sim/simtest"
)

// player saves versions on a simulated disk with troubles and ends of its process at any moment.
type player struct {
	world        *sim.World
	machine      *sim.Machine
	disk         *FileStore
	acknowledged int // newest version whose Save has returned nil
	attempted    int
	full, failed int
}

func encodeNumber(number int) []byte { return []byte{byte(number >> 8), byte(number), 0xff, 0xff} }

func decodeNumber(data []byte) int { return int(data[0])<<8 | int(data[1]) }

// start reads the disk, and checks that it holds what was acknowledged or something newer.
func (p *player) start() error {
	var problem error
	p.machine.Start(func(process *sim.Process) {
		p.disk = Open(process.Disk().Files(), "record")
		data, err := p.disk.Load()
		if eris.Is(err, ErrIO) {
			p.failed++ // nobody may act on what can't be read
			return
		}
		found := 0
		if err == nil {
			found = decodeNumber(data)
		}
		if found < p.acknowledged || found > p.attempted {
			problem = eris.Errorf("found %d (%v), %d was acknowledged, %d attempted", found, err, p.acknowledged, p.attempted)
		}
		p.acknowledged = found // what was read counts from now on
	})
	return problem
}

func (p *player) save() {
	process := p.machine.Process()
	p.attempted++
	number, disk := p.attempted, p.disk
	process.Disk().Submit(process, func(*sim.Files) error { return disk.Save(encodeNumber(number)) }, func(err error) {
		switch {
		case err == nil:
			p.acknowledged = max(p.acknowledged, number)
		case eris.Is(err, ErrFull):
			p.full++
		default:
			p.failed++
		}
	})
}

func (p *player) trouble(lies bool) {
	files := p.machine.Disk().Files()
	files.IgnoreSyncs = lies
	switch p.world.IntN(5) {
	case 0:
		files.Full = !files.Full
	case 1:
		files.FailSyncs = !files.FailSyncs
	case 2:
		p.machine.Kill()
	case 3:
		p.machine.LosePower()
	default:
		p.world.Run(p.world.Between(0, sim.DefaultMaxDiskLatency))
	}
}

func (p *player) play(lies bool) error {
	for range 120 {
		if !p.machine.Up() {
			if err := p.start(); err != nil {
				return err
			}
		}
		p.save()
		p.world.Run(p.world.Between(0, sim.DefaultMaxDiskLatency))
		p.trouble(lies)
	}
	return nil
}

func newPlayer(seed uint64) *player {
	world := sim.New(seed)
	return &player{world: world, machine: world.AddMachine("a")}
}

func TestWhatWasSavedOutlivesAllThatADiskDoes(t *testing.T) {
	var acknowledged, full, failed int
	simtest.Run(t, simtest.Seeds{Fixed: 300, Fresh: 100}, func(t *testing.T, seed uint64) {
		p := newPlayer(seed)
		require.NoError(t, p.play(false))
		acknowledged, full, failed = acknowledged+p.acknowledged, full+p.full, failed+p.failed
	})
	require.Positive(t, acknowledged)
	require.Positive(t, full)
	require.Positive(t, failed)
}

func TestADiskThatLosesSyncsIsCaught(t *testing.T) {
	for seed := range uint64(50) {
		if err := newPlayer(seed).play(true); err != nil {
			t.Logf("caught by play %d: %v", seed, err)
			return
		}
	}
	require.Fail(t, "not caught")
}

func TestAFullDiskRefusesAndKeepsWhatItHas(t *testing.T) {
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
