package store

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	recordMagic  = 0x77656c64    // "weld"
	headerBytes  = 4 + 4 + 8 + 8 // magic, checksum, version, length
	checksumFrom = 8             // the checksum covers the header from this offset and the data
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeHeader returns the header of a record, which precedes its data: magic, checksum, version and data length.
func encodeHeader(version uint64, data []byte) []byte {
	header := make([]byte, headerBytes)
	binary.BigEndian.PutUint32(header[0:], recordMagic)
	binary.BigEndian.PutUint64(header[8:], version)
	binary.BigEndian.PutUint64(header[16:], uint64(len(data)))
	binary.BigEndian.PutUint32(header[4:], checksum(header, data))
	return header
}

// checksum returns the checksum of a record with the given header and data.
func checksum(header, data []byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[checksumFrom:headerBytes])
	return crc32.Update(sum, castagnoli, data)
}

// decodeRecord returns the data of a record. It returns false unless the record is valid and has the given version.
func decodeRecord(version uint64, record []byte) ([]byte, bool) {
	if len(record) < headerBytes || binary.BigEndian.Uint32(record) != recordMagic {
		return nil, false
	}
	header, data := record[:headerBytes], record[headerBytes:]
	if binary.BigEndian.Uint64(header[8:]) != version || binary.BigEndian.Uint64(header[16:]) != uint64(len(data)) {
		return nil, false
	}
	return data, binary.BigEndian.Uint32(header[4:]) == checksum(header, data)
}
