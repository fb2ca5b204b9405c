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

// reopenable is a store and a function that opens it again on the same files, as after a restart.
type reopenable struct {
	store  Store
	reopen func() Store
}

// stores returns a constructor of each kind of store by name.
func stores(t *testing.T) map[string]func() reopenable {
	t.Helper()
	return map[string]func() reopenable{
		"disk": func() reopenable {
			directory := filepath.Join(t.TempDir(), "data")
			reopen := func() Store {
				store, err := OpenPath(directory, "record")
				require.NoError(t, err)
				return store
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

// Each store must satisfy the same contract.
func TestContract(t *testing.T) {
	for name, create := range stores(t) {
		t.Run(name+"/empty", func(t *testing.T) {
			_, err := create().store.Load()
			require.ErrorIs(t, err, ErrNotFound)
		})
		t.Run(name+"/newest", func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkNewest(t, create()) })
		})
	}
}

// checkNewest saves random records and restarts the store, and checks after each step that Load returns the last saved one.
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

func TestFileStoreLoadsNewestValidVersion(t *testing.T) {
	directory := t.TempDir()
	store, err := OpenPath(directory, "record")
	require.NoError(t, err)
	require.NoError(t, store.Save([]byte("whole")))
	record := append(encodeHeader(2, []byte("torn")), "torn"...)
	for length := range len(record) {
		require.NoError(t, os.WriteFile(filepath.Join(directory, store.fileName(2)), record[:length], 0o600))
		reopened, err := OpenPath(directory, "record")
		require.NoError(t, err)
		data, err := reopened.Load()
		require.NoError(t, err)
		require.Equal(t, "whole", string(data))
	}
	reopened, err := OpenPath(directory, "record")
	require.NoError(t, err)
	require.NoError(t, reopened.Save([]byte("newer")))
	entries, err := os.ReadDir(directory)
	require.NoError(t, err)
	require.Len(t, entries, 1, "older and torn versions must be removed")
	require.Equal(t, reopened.fileName(3), entries[0].Name())
}

func TestChecksumDetectsEveryFlippedBit(t *testing.T) {
	record := append(encodeHeader(7, []byte("data")), "data"...)
	_, valid := decodeRecord(7, record)
	require.True(t, valid)
	for bit := range 8 * len(record) {
		flipped := bytes.Clone(record)
		flipped[bit/8] ^= 1 << (bit % 8)
		_, valid := decodeRecord(7, flipped)
		require.False(t, valid, "bit %d", bit)
	}
	_, valid = decodeRecord(8, record)
	require.False(t, valid, "the record of another version")
}

func TestFileStoreRemovesTemporaryFiles(t *testing.T) {
	directory := t.TempDir()
	store, err := OpenPath(directory, "record")
	require.NoError(t, err)
	require.NoError(t, store.Save([]byte("one")))
	temporary := filepath.Join(directory, store.fileName(9)) + temporarySuffix
	require.NoError(t, os.WriteFile(temporary, []byte("half"), 0o600))
	other := filepath.Join(directory, "another.00000000000000000001")
	require.NoError(t, os.WriteFile(other, []byte("another record"), 0o600))
	reopened, err := OpenPath(directory, "record")
	require.NoError(t, err)
	data, err := reopened.Load()
	require.NoError(t, err)
	require.Equal(t, "one", string(data))
	require.NoFileExists(t, temporary)
	require.FileExists(t, other)
}

func TestFileStoreErrorsAreClassified(t *testing.T) {
	directory := t.TempDir()
	store, err := OpenPath(directory, "record")
	require.NoError(t, err)
	require.NoError(t, store.Save([]byte("one")))
	// A directory in place of the temporary file makes every write fail.
	require.NoError(t, os.Mkdir(filepath.Join(directory, store.fileName(2))+temporarySuffix, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(filepath.Join(directory, store.fileName(2))+temporarySuffix, "x"), nil, 0o600))
	err = store.Save([]byte("two"))
	require.True(t, errors.Is(err, ErrIO))
	data, err := store.Load()
	require.NoError(t, err)
	require.Equal(t, "one", string(data))
	require.NoError(t, store.Save([]byte("three")))
	_, err = OpenPath(filepath.Join(filepath.Join(directory, store.fileName(store.version)), "below a file"), "record")
	require.ErrorIs(t, err, ErrIO)
}

func TestFullDiskIsDistinguishedFromOtherErrors(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err, "/dev/full exists on Linux")
	defer func() { _ = full.Close() }()
	_, err = full.Write([]byte("x"))
	require.ErrorIs(t, classify(err, "write"), ErrFull)
	require.ErrorIs(t, classify(os.ErrPermission, "write"), ErrIO)
}
