package register

import (
	"crypto/rand"
	"encoding/hex"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/coordination/store"
)

// Names of the records on a replica's disk.
const (
	identityRecord = "identity"
	promiseRecord  = "promise"
	valueRecord    = "value"
)

// identity is the record that is written to a disk when it is first used.
type identity struct {
	ID       string
	Founders []Replica // initial replica set if this disk belongs to it, else nil
}

// Disk stores the state of an acceptor. It is not safe for concurrent use.
type Disk struct {
	identity store.Store
	promise  store.Store
	value    store.Store
}

// NewDisk returns a Disk that keeps its records in files.
func NewDisk(files store.Files) Disk {
	return Disk{
		identity: store.Open(files, identityRecord),
		promise:  store.Open(files, promiseRecord),
		value:    store.Open(files, valueRecord),
	}
}

// Load returns the stored acceptor, or nil if the disk was never used.
func (d Disk) Load(address string) (*Acceptor, error) {
	var stored identity
	found, err := loadRecord(d.identity, &stored)
	if err != nil || !found {
		return nil, err
	}
	var promised Ballot
	if _, err := loadRecord(d.promise, &promised); err != nil {
		return nil, err
	}
	var accepted Accepted // not the initial state: decoding would overwrite the founders' slice
	found, err = loadRecord(d.value, &accepted)
	if err != nil {
		return nil, err
	}
	if !found {
		accepted = stored.initialState()
	}
	return NewAcceptor(Replica{ID: stored.ID, Address: address}, promised, accepted), nil
}

// Initialize writes the identity to an empty disk. The founders are the initial replica set if the disk belongs to it, else
// nil.
func (d Disk) Initialize(id, address string, founders []Replica) (*Acceptor, error) {
	stored := identity{ID: id, Founders: founders}
	if err := saveRecord(d.identity, &stored); err != nil {
		return nil, err
	}
	return NewAcceptor(Replica{ID: stored.ID, Address: address}, Ballot{}, stored.initialState()), nil
}

func (i identity) initialState() Accepted {
	if len(i.Founders) == 0 {
		return Accepted{}
	}
	return Genesis(i.Founders)
}

// Write makes the write of a step durable. It returns NoRefusal, DiskFull or DiskFailed.
func (d Disk) Write(write *Write) Refusal {
	err := d.save(write)
	switch {
	case err == nil:
		return NoRefusal
	case errors.Is(err, store.ErrFull):
		return DiskFull
	}
	return DiskFailed
}

func (d Disk) save(write *Write) error {
	if write.Accepted != nil {
		if err := saveRecord(d.value, write.Accepted); err != nil {
			return err
		}
	}
	if write.Promised != nil {
		return saveRecord(d.promise, write.Promised)
	}
	return nil
}

func loadRecord(from store.Store, record any) (bool, error) {
	data, err := from.Load()
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, eris.Wrap(msgpack.Unmarshal(data, record), "decode record")
}

func saveRecord(to store.Store, record any) error {
	data, err := msgpack.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	return to.Save(data)
}

func randomID() string {
	var bytes [12]byte
	_, _ = rand.Read(bytes[:]) // never fails
	return hex.EncodeToString(bytes[:])
}
