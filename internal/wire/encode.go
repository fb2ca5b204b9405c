package wire

import (
	"encoding/binary"
	"io"
	"math"

	"weldscale/decide"
)

// Record codes of the actions in a reply.
const (
	actRefuse   = 10
	actWake     = 30
	actWatch    = 40
	actBailOut  = 50
	actCancel   = 60
	actPush     = 70
	actFail     = 90
	actProbe    = 100
	actReload   = 110
	actSendPeer = 120
)

// Encoder collects the actions of one reply. It implements decide.Actions for the instance that was last
// set with SetInstance.
type Encoder struct {
	buf      []byte
	instance uint32
}

var _ decide.Actions = (*Encoder)(nil)

// NewEncoder returns an encoder with an empty reply.
func NewEncoder() *Encoder { return &Encoder{buf: make([]byte, 4, 1<<16)} }

// SetInstance sets the instance that the following actions belong to.
func (e *Encoder) SetInstance(instance uint32) { e.instance = instance }

// Flush writes the reply to w and starts an empty one.
func (e *Encoder) Flush(w io.Writer) error {
	binary.BigEndian.PutUint32(e.buf, uint32(len(e.buf)))
	_, err := w.Write(e.buf)
	e.buf = e.buf[:4]
	return err
}

func (e *Encoder) beginRecord(code uint8, size int) {
	e.buf = append(e.buf, code)
	e.u32(uint32(size))
	e.u32(e.instance)
}

func (e *Encoder) u16(v uint16) { e.buf = binary.BigEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.BigEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64) { e.buf = binary.BigEndian.AppendUint64(e.buf, v) }

func (e *Encoder) worker(w decide.WorkerID) {
	e.u32(uint32(w >> 16))
	e.u16(uint16(w))
}

// duration encodes a timeout or a wait. The protocol reads the highest bit as a sign, so durations are
// clamped to 31 bits.
func (e *Encoder) duration(t decide.Time) { e.u32(uint32(max(0, min(t, math.MaxInt32)))) }

// Push implements decide.Actions. The protocol reads a timeout of 0 as no timeout, so the shortest one
// sent is 1 us.
func (e *Encoder) Push(job uint32, worker decide.WorkerID, timeout decide.Time) {
	e.beginRecord(actPush, 18)
	e.u32(job)
	e.worker(worker)
	e.duration(max(1, timeout))
}

// Probe implements decide.Actions.
func (e *Encoder) Probe(worker decide.WorkerID) {
	e.beginRecord(actProbe, 10)
	e.worker(worker)
}

// Cancel implements decide.Actions.
func (e *Encoder) Cancel(job uint32, attempt int) {
	e.beginRecord(actCancel, 10)
	e.u32(job)
	e.u16(uint16(attempt))
}

// Refuse implements decide.Actions.
func (e *Encoder) Refuse(job uint32, retryAfter decide.Time) {
	e.beginRecord(actRefuse, 12)
	e.u32(job)
	e.duration(retryAfter)
}

// Fail implements decide.Actions.
func (e *Encoder) Fail(job uint32) {
	e.beginRecord(actFail, 8)
	e.u32(job)
}

// Watch implements decide.Actions.
func (e *Encoder) Watch(on bool) {
	e.beginRecord(actWatch, 5)
	if on {
		e.buf = append(e.buf, 1)
	} else {
		e.buf = append(e.buf, 0)
	}
}

// Reload implements decide.Actions.
func (e *Encoder) Reload() { e.beginRecord(actReload, 4) }

// Wake implements decide.Actions.
func (e *Encoder) Wake(after decide.Time, token uint64) {
	e.beginRecord(actWake, 16)
	e.duration(after)
	e.u64(token)
}

// SendPeer implements decide.Actions.
func (e *Encoder) SendPeer(peer int, data []byte) {
	data = data[:min(len(data), 256)]
	e.beginRecord(actSendPeer, 8+len(data))
	if peer == decide.PeerAll {
		e.u16(math.MaxUint16)
	} else {
		e.u16(uint16(peer))
	}
	e.u16(uint16(len(data)))
	e.buf = append(e.buf, data...)
}

// BailOut reports that the decision code of the instance failed. The text is cut after 1000 bytes.
func (e *Encoder) BailOut(text string) {
	text = text[:min(len(text), 1000)]
	e.beginRecord(actBailOut, 6+len(text))
	e.u16(uint16(len(text)))
	e.buf = append(e.buf, text...)
}
