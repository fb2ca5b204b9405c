package register

import (
	"crypto/rand"
	"encoding/hex"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/coordination/store"
)

// Records of a replica's disk.
const (
	identityRecord = "identity"
	promiseRecord  = "promise"
	valueRecord    = "value"
)

// identity is what a disk is marked with when it is first used.
type identity struct {
	ID       string
	Founders []Replica // the first set, if this disk belongs to it
}

// durable keeps an acceptor's state on its disk.
type durable struct {
	identity store.Store
	promise  store.Store
	value    store.Store
}

func openDurable(folder string) (durable, error) {
	var stores [3]store.Store
	for at, name := range []string{identityRecord, promiseRecord, valueRecord} {
		disk, err := store.OpenDisk(folder, name)
		if err != nil {
			return durable{}, err
		}
		stores[at] = disk
	}
	return durable{identity: stores[0], promise: stores[1], value: stores[2]}, nil
}

// load returns the acceptor that the disk holds, or nil if the disk was never used.
func (d durable) load(address string) (*Acceptor, error) {
	var mark identity
	found, err := loadRecord(d.identity, &mark)
	if err != nil || !found {
		return nil, err
	}
	var promised Ballot
	if _, err := loadRecord(d.promise, &promised); err != nil {
		return nil, err
	}
	var accepted Accepted // fresh: decoding would write into the founders' slice
	found, err = loadRecord(d.value, &accepted)
	if err != nil {
		return nil, err
	}
	if !found {
		accepted = mark.first()
	}
	return NewAcceptor(Replica{ID: mark.ID, Address: address}, promised, accepted), nil
}

// mark gives an empty disk its identity.
func (d durable) mark(mark identity, address string) (*Acceptor, error) {
	if err := saveRecord(d.identity, &mark); err != nil {
		return nil, err
	}
	return NewAcceptor(Replica{ID: mark.ID, Address: address}, Ballot{}, mark.first()), nil
}

func (i identity) first() Accepted {
	if len(i.Founders) == 0 {
		return Accepted{}
	}
	return Genesis(i.Founders)
}

// write makes a step's write durable.
func (d durable) write(write *Write) Refusal {
	var err error
	if write.Accepted != nil {
		err = saveRecord(d.value, write.Accepted)
	} else {
		err = saveRecord(d.promise, write.Promised)
	}
	switch {
	case err == nil:
		return Agreed
	case errors.Is(err, store.ErrFull):
		return DiskFull
	}
	return DiskFailed
}

func loadRecord(from store.Store, record any) (bool, error) {
	data, err := from.Load()
	if errors.Is(err, store.ErrNone) {
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
