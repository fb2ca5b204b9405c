package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/sim"
)

// reopenable makes a store anew on the same files, as after a restart.
type reopenable struct {
	store  Store
	reopen func() Store
}

func stores(t *testing.T) map[string]func() reopenable {
	t.Helper()
	return map[string]func() reopenable{
		"disk": func() reopenable {
			folder := filepath.Join(t.TempDir(), "data")
			reopen := func() Store {
				disk, err := OpenPath(folder, "record")
				require.NoError(t, err)
				return disk
			}
			return reopenable{store: reopen(), reopen: reopen}
		},
		"simulated": func() reopenable {
			machine := sim.New(1).AddMachine("a")
			open := func() Store { return Open(machine.Disk().Files(), "record") }
			return reopenable{store: open(), reopen: func() Store {
				machine.LosePower()
				return open()
			}}
		},
	}
}

// Each store passes the same contract.
func TestContract(t *testing.T) {
	for name, make := range stores(t) {
		t.Run(name+"/empty", func(t *testing.T) {
			_, err := make().store.Load()
			require.ErrorIs(t, err, ErrNotFound)
		})
		t.Run(name+"/newest", func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkNewest(t, make()) })
		})
	}
}

func checkNewest(t *rapid.T, r reopenable) {
	var last []byte
	saved := false
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		if rapid.Bool().Draw(t, "restart") {
			r.store = r.reopen()
		} else {
			last = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
			require.NoError(t, r.store.Save(last))
			saved = true
		}
		data, err := r.store.Load()
		if !saved {
			require.ErrorIs(t, err, ErrNotFound)
			continue
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(last, data))
	}
}

func TestDiskCountsTheNewestWholeVersion(t *testing.T) {
	folder := t.TempDir()
	disk, err := OpenPath(folder, "record")
	require.NoError(t, err)
	require.NoError(t, disk.Save([]byte("whole")))
	whole := append(encodeHeader(2, []byte("torn")), "torn"...)
	for length := range len(whole) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, disk.file(2)), whole[:length], 0o600))
		again, err := OpenPath(folder, "record")
		require.NoError(t, err)
		data, err := again.Load()
		require.NoError(t, err)
		require.Equal(t, "whole", string(data))
	}
	again, err := OpenPath(folder, "record")
	require.NoError(t, err)
	require.NoError(t, again.Save([]byte("newer")))
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, entries, 1, "older and torn versions are gone")
	require.Equal(t, again.file(3), entries[0].Name())
}

func TestDiskFindsEachFlippedBit(t *testing.T) {
	record := append(encodeHeader(7, []byte("data")), "data"...)
	_, whole := decodeRecord(7, record)
	require.True(t, whole)
	for bit := range 8 * len(record) {
		flipped := bytes.Clone(record)
		flipped[bit/8] ^= 1 << (bit % 8)
		_, whole := decodeRecord(7, flipped)
		require.False(t, whole, "bit %d", bit)
	}
	_, whole = decodeRecord(8, record)
	require.False(t, whole, "another version's record")
}

func TestDiskForgetsWhatWasLeftAside(t *testing.T) {
	folder := t.TempDir()
	disk, err := OpenPath(folder, "record")
	require.NoError(t, err)
	require.NoError(t, disk.Save([]byte("one")))
	aside := filepath.Join(folder, disk.file(9)) + asideSuffix
	require.NoError(t, os.WriteFile(aside, []byte("half"), 0o600))
	other := filepath.Join(folder, "another.00000000000000000001")
	require.NoError(t, os.WriteFile(other, []byte("not ours"), 0o600))
	again, err := OpenPath(folder, "record")
	require.NoError(t, err)
	data, err := again.Load()
	require.NoError(t, err)
	require.Equal(t, "one", string(data))
	require.NoFileExists(t, aside)
	require.FileExists(t, other)
}

func TestDiskErrorsAreTyped(t *testing.T) {
	folder := t.TempDir()
	disk, err := OpenPath(folder, "record")
	require.NoError(t, err)
	require.NoError(t, disk.Save([]byte("one")))
	// A folder in the place of the file aside fails every write.
	require.NoError(t, os.Mkdir(filepath.Join(folder, disk.file(2))+asideSuffix, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(filepath.Join(folder, disk.file(2))+asideSuffix, "x"), nil, 0o600))
	err = disk.Save([]byte("two"))
	require.True(t, errors.Is(err, ErrIO))
	data, err := disk.Load()
	require.NoError(t, err)
	require.Equal(t, "one", string(data))
	require.NoError(t, disk.Save([]byte("three")))
	_, err = OpenPath(filepath.Join(filepath.Join(folder, disk.file(disk.version)), "below a file"), "record")
	require.ErrorIs(t, err, ErrIO)
}

func TestFullDiskIsToldFromAFailedOne(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err, "Linux has it")
	defer func() { _ = full.Close() }()
	_, err = full.Write([]byte("x"))
	require.ErrorIs(t, typed(err, "write"), ErrFull)
	require.ErrorIs(t, typed(os.ErrPermission, "write"), ErrIO)
}
