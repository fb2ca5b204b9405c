package watch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/internal/fleetwire"
)

// The first byte of a packed value tells how the rest is to be read.
const (
	packedPlain byte = 0
	packedFlate byte = 1
)

const (
	// minFlateBytes is the size from which compression saves more on the links than it costs in processor time.
	minFlateBytes = 4 << 10
	// maxUnpackedBytes bounds what a packed value may grow to.
	maxUnpackedBytes = 16 << 20
)

// pack encodes a value once for all watchers: msgpack without field names, compressed if it is large.
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
		return nil, eris.Wrap(err, "make compressor")
	}
	if _, err := writer.Write(plain.Bytes()[1:]); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "end compression")
	}
	return compressed.Bytes(), nil
}

// unpack decodes what pack made.
func unpack(packed fleetwire.Packed, value any) error {
	if len(packed) == 0 {
		return eris.New("nothing to unpack")
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
		return eris.Errorf("unknown packing %d", packed[0])
	}
	return eris.Wrap(msgpack.Unmarshal(body, value), "decode")
}
