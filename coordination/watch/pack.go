package watch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/internal/fleetwire"
)

// The first byte of a packed value gives the encoding of the rest.
const (
	packedPlain byte = 0
	packedFlate byte = 1
)

const (
	// minFlateBytes is the size from which compression saves more bandwidth than it costs in CPU time.
	minFlateBytes = 4 << 10
	// maxUnpackedBytes bounds the decompressed size of a packed value.
	maxUnpackedBytes = 16 << 20
)

// pack encodes a value as msgpack without field names, and compresses it if it is large. Packed values are encoded once and
// shared by all subscribers.
func pack(value any) (fleetwire.Packed, error) {
	var plain bytes.Buffer
	plain.WriteByte(packedPlain)
	encoder := msgpack.NewEncoder(&plain)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	if plain.Len() < minFlateBytes {
		return plain.Bytes(), nil
	}
	var compressed bytes.Buffer
	compressed.WriteByte(packedFlate)
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "create compressor")
	}
	if _, err := writer.Write(plain.Bytes()[1:]); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "finish compression")
	}
	return compressed.Bytes(), nil
}

// unpack decodes a value that was encoded by pack.
func unpack(packed fleetwire.Packed, value any) error {
	if len(packed) == 0 {
		return eris.New("the packed value is empty")
	}
	body := packed[1:]
	switch packed[0] {
	case packedPlain:
	case packedFlate:
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUnpackedBytes))
		if err != nil {
			return eris.Wrap(err, "decompress")
		}
		body = plain
	default:
		return eris.Errorf("unknown encoding %d of a packed value", packed[0])
	}
	return eris.Wrap(msgpack.Unmarshal(body, value), "decode")
}
