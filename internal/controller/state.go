package controller

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/coordination/lease"
)

const (
	// digestBytes is the length of a stored digest. It is long enough that no two changes of a day share one.
	digestBytes = 16
	// maxDigests bounds the size of the state. There are hundreds of changes per day, and operators resend a change within
	// seconds.
	maxDigests = 1024
)

// controlState is the replicated state of the controllers. The register holds it encoded.
type controlState struct {
	Changes uint64 // number of configurations applied so far
	Version int64  // version of the current configuration; 0 if there is none
	Config  []byte // the current configuration as the operator sent it
	Digests []byte // digests of the newest applied changes, digestBytes each, oldest first
	Roles   map[string]lease.Record
}

// decodeState decodes the register's data. Empty data is the state before the first write.
func decodeState(data []byte) (controlState, error) {
	var state controlState
	if len(data) == 0 {
		return state, nil
	}
	err := msgpack.Unmarshal(data, &state)
	return state, eris.Wrap(err, "decode control state")
}

// encode returns the register's data for the state. Equal states have equal encodings.
func (s controlState) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(s)
	return buffer.Bytes(), eris.Wrap(err, "encode control state")
}

// digest identifies a change by its base version and body.
type digest [digestBytes]byte

func digestOf(base int64, body []byte) digest {
	hash := sha256.New()
	_, _ = hash.Write(strconv.AppendInt(nil, base, 10))
	_, _ = hash.Write([]byte{'\n'})
	_, _ = hash.Write(body)
	return digest(hash.Sum(nil)[:digestBytes])
}

// hasChange reports whether the digest is among those of the applied changes.
func (s controlState) hasChange(requested digest) bool {
	for stored := range slices.Chunk(s.Digests, digestBytes) {
		if bytes.Equal(stored, requested[:]) {
			return true
		}
	}
	return false
}

// withDigest returns the stored digests with one added. It drops the oldest ones beyond maxDigests.
func (s controlState) withDigest(added digest) []byte {
	kept := s.Digests
	if len(kept) >= maxDigests*digestBytes {
		kept = kept[len(kept)-(maxDigests-1)*digestBytes:]
	}
	return slices.Concat(kept, added[:])
}

// withRole returns a copy of the state with a new record of a role.
func (s controlState) withRole(key string, record lease.Record) controlState {
	roles := maps.Clone(s.Roles)
	if roles == nil {
		roles = make(map[string]lease.Record)
	}
	roles[key] = record
	s.Roles = roles
	return s
}
