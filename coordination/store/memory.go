package store

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// Memory is a Store for tests and simulations. It keeps whole files as a disk would, and its faults are set by its fields.
type Memory struct {
	// Full makes each Save fail with ErrFull.
	Full bool
	// Unsynced makes Save return before the version is durable, as a disk that lies does: a loss of power forgets it.
	Unsynced bool
	// FailSync makes Save put the version in place but report ErrFailed, since its folder was not synced.
	FailSync bool

	files   []memoryFile // oldest first
	version uint64
}

type memoryFile struct {
	version uint64
	record  []byte
	durable bool
}

// Load implements Store.
func (m *Memory) Load() ([]byte, error) {
	for at := len(m.files) - 1; at >= 0; at-- {
		if data, whole := decodeRecord(m.files[at].version, m.files[at].record); whole {
			return bytes.Clone(data), nil
		}
	}
	return nil, eris.Wrap(ErrNone, "memory")
}

// Save implements Store.
func (m *Memory) Save(data []byte) error {
	if m.Full {
		return eris.Wrap(ErrFull, "memory")
	}
	m.version++
	record := append(encodeHeader(m.version, data), data...)
	file := memoryFile{version: m.version, record: record, durable: !m.Unsynced && !m.FailSync}
	if m.FailSync {
		m.files = append(m.files, file)
		return eris.Wrap(ErrFailed, "memory: sync folder")
	}
	if file.durable {
		m.files = m.files[:0]
	}
	m.files = append(m.files, file)
	return nil
}

// LosePower ends the life of the process that used the store. Versions that were not synced are lost, or kept torn if
// tear is true.
func (m *Memory) LosePower(tear bool) {
	var kept []memoryFile
	for _, file := range m.files {
		if !file.durable {
			if !tear {
				continue
			}
			file.record = file.record[:len(file.record)/2]
			file.durable = true
		}
		kept = append(kept, file)
	}
	m.files = kept
}

// Wipe forgets everything, as a replaced disk does.
func (m *Memory) Wipe() { m.files, m.version = nil, 0 }
