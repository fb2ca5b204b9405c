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
	// digestBytes is the length of a stored digest: enough that two changes of a day never share one.
	digestBytes = 16
	// maxDigests bounds the state. A day has hundreds of changes, and a change is sent again within seconds.
	maxDigests = 1024
)

// controlState is what the controllers agree on; the register holds it encoded.
type controlState struct {
	Changes uint64 // configurations taken so far
	Version int64  // of the current configuration, 0 before the first
	Config  []byte // the current configuration as the operator sent it
	Digests []byte // of the changes taken, digestBytes each, oldest first
	Roles   map[string]lease.Record
}

// decodeState decodes the register's data; no data is the state before the first write.
func decodeState(data []byte) (controlState, error) {
	var state controlState
	if len(data) == 0 {
		return state, nil
	}
	err := msgpack.Unmarshal(data, &state)
	return state, eris.Wrap(err, "decode control state")
}

func (s controlState) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(s)
	return buffer.Bytes(), eris.Wrap(err, "encode control state")
}

// digest names a change: its base and its bytes.
type digest [digestBytes]byte

func digestOf(base int64, body []byte) digest {
	hash := sha256.New()
	_, _ = hash.Write(strconv.AppendInt(nil, base, 10))
	_, _ = hash.Write([]byte{'\n'})
	_, _ = hash.Write(body)
	return digest(hash.Sum(nil)[:digestBytes])
}

// taken reports whether a change is among those that were taken.
func (s controlState) hasChange(requested digest) bool {
	for stored := range slices.Chunk(s.Digests, digestBytes) {
		if bytes.Equal(stored, requested[:]) {
			return true
		}
	}
	return false
}

// withDigest returns the stored digests with one more, without the oldest if there are too many.
func (s controlState) withDigest(added digest) []byte {
	kept := s.Digests
	if len(kept) >= maxDigests*digestBytes {
		kept = kept[len(kept)-(maxDigests-1)*digestBytes:]
	}
	return slices.Concat(kept, added[:])
}

// withRole returns the state with another record of a role.
func (s controlState) withRole(key string, record lease.Record) controlState {
	roles := maps.Clone(s.Roles)
	if roles == nil {
		roles = make(map[string]lease.Record)
	}
	roles[key] = record
	s.Roles = roles
	return s
}
