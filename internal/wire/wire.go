// Package wire is the codec of the simulator protocol (WIRE-weldscale.md) and the parser of the
// platform's settings. Frames are big-endian and binary: a batch of events in, a reply of actions out.
// Buffers are reused; nothing is allocated per event.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"weldscale/decide"
)

// Record codes of the events in a batch.
const (
	CodeStreamStarted = 10
	CodePage          = 20
	CodeAnnounce      = 30
	CodeTimer         = 40
	CodeNote          = 50
	CodeInstanceEnd   = 60
	CodeOutcome       = 70
	CodeInstanceBegin = 80
	CodeHangup        = 90
	CodeRequest       = 100
	CodePeerMessage   = 110
	CodeProbeResult   = 120
)

const (
	headerLen       = 16
	recordHeaderLen = 5
	listEntryLen    = 23
	maxListPages    = 16
	maxFrameLen     = 1 << 30 // far above any legal batch; a longer length means that the input is damaged
)

// Event is one decoded record. Code determines which fields are set. Its byte slices are valid until the
// next call of Next or Read.
type Event struct {
	Code     uint8
	Instance uint32

	Seed   uint64 // InstanceBegin
	Params []byte

	ListKind decide.ListKind // Announce
	Page     int

	Job     decide.Job     // Request; Job.ID also for StreamStarted, Note and Hangup
	Outcome decide.Outcome // Outcome; the attempt also for StreamStarted and Note

	Note  decide.NoteKind
	Value float64

	Token uint64 // Timer

	Worker     decide.WorkerID // ProbeResult
	Status     decide.Status
	Latency    decide.Time
	Values     [8]float32 // load report of Outcome and ProbeResult, in the order of the site's report fields
	ValueCount int

	From int // PeerMessage
	Data []byte
}

// Decoder reads batches of events from a stream.
type Decoder struct {
	reader io.Reader
	buf    []byte
	body   []byte // records that are not decoded yet
	offset int    // position of body in the frame
	record int
	count  int
	now    decide.Time
	pages  [maxListPages][]decide.Worker
	event  Event
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// ErrTruncated is wrapped by errors about input that ends inside a frame.
var ErrTruncated = errors.New("input ends inside the frame")

// Read reads the next batch. It returns io.EOF if the input ends between two batches.
func (d *Decoder) Read() error {
	var head [4]byte
	if n, err := io.ReadFull(d.reader, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("header, offset %d: %w", n, ErrTruncated)
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size < headerLen || size > maxFrameLen {
		return fmt.Errorf("header, offset 0: frame length %d is not between %d and %d", size, headerLen, maxFrameLen)
	}
	if err := d.readBody(int(size) - 4); err != nil {
		return err
	}
	now := binary.BigEndian.Uint64(d.buf)
	if now > math.MaxInt64 {
		return fmt.Errorf("header, offset 4: clock %d is out of range", now)
	}
	d.now = decide.Time(now)
	d.count = int(binary.BigEndian.Uint32(d.buf[8:]))
	d.body, d.offset, d.record = d.buf[headerLen-4:], headerLen, 0
	return nil
}

// readBody reads size bytes into the buffer. The buffer grows only as bytes arrive, so a false length in
// a header can't cause a huge allocation.
func (d *Decoder) readBody(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		chunk := min(size-len(d.buf), step)
		have := len(d.buf)
		if cap(d.buf) < have+chunk {
			grown := make([]byte, have, max(2*cap(d.buf), have+chunk))
			copy(grown, d.buf)
			d.buf = grown
		}
		d.buf = d.buf[:have+chunk]
		if n, err := io.ReadFull(d.reader, d.buf[have:]); err != nil {
			return fmt.Errorf("header, offset %d: %w of %d bytes", 4+have+n, ErrTruncated, size+4)
		}
	}
	return nil
}

// Now returns the clock of the batch.
func (d *Decoder) Now() decide.Time { return d.now }

// Workers returns the worker list of that page number and reports whether there is one.
func (d *Decoder) Workers(page int) ([]decide.Worker, bool) {
	if page < 0 || page >= maxListPages || d.pages[page] == nil {
		return nil, false
	}
	return d.pages[page], true
}

// Next returns the next event of the batch, or nil at its end. It stores worker-list pages without
// returning them and skips records with an unknown code.
func (d *Decoder) Next() (*Event, error) {
	for d.record < d.count {
		if len(d.body) < recordHeaderLen {
			return nil, d.recordError(0, "frame ends inside a record header")
		}
		code, size := d.body[0], int64(binary.BigEndian.Uint32(d.body[1:]))
		if size > int64(len(d.body)-recordHeaderLen) {
			return nil, d.recordError(1, "record length exceeds the frame")
		}
		record := recordReader{data: d.body[recordHeaderLen : recordHeaderLen+int(size)]}
		known := d.decode(code, &record)
		if record.truncated {
			return nil, d.recordError(recordHeaderLen+record.offset, "record ends inside a field")
		}
		if record.problem != "" {
			return nil, d.recordError(recordHeaderLen+record.offset, record.problem)
		}
		d.body = d.body[recordHeaderLen+int(size):]
		d.offset += recordHeaderLen + int(size)
		d.record++
		if known && code != CodePage {
			return &d.event, nil
		}
	}
	if len(d.body) > 0 {
		return nil, d.recordError(0, "bytes after the last record")
	}
	return nil, nil
}

func (d *Decoder) recordError(offset int, problem string) error {
	return fmt.Errorf("record %d, offset %d: %s", d.record, d.offset+offset, problem)
}

// decode decodes one record into the event and reports whether its code is known.
func (d *Decoder) decode(code uint8, f *recordReader) bool {
	event := &d.event
	event.Code = code
	if code == CodePage {
		d.decodePage(f)
		return true
	}
	switch code {
	case CodeStreamStarted, CodeAnnounce, CodeTimer, CodeNote, CodeInstanceEnd, CodeOutcome, CodeInstanceBegin, CodeHangup, CodeRequest,
		CodePeerMessage, CodeProbeResult:
		event.Instance = f.u32()
	default:
		return false
	}
	switch code {
	case CodeStreamStarted:
		event.Job.ID = f.u32()
		event.Outcome.Worker = f.worker()
		event.Latency = decide.Time(f.u32())
		event.Outcome.Attempt = int(f.u16())
	case CodeAnnounce:
		d.decodeAnnounce(f)
	case CodeTimer:
		event.Token = f.u64()
	case CodeNote:
		event.Job.ID = f.u32()
		event.Outcome.Attempt = int(f.u16())
		event.Outcome.Worker = f.worker()
		event.Note = decide.NoteKind(f.u8())
		event.Value = f.f32()
	case CodeOutcome:
		d.decodeOutcome(f)
	case CodeInstanceBegin:
		event.Seed = f.u64()
		event.Params = f.bytes(int64(f.u32()))
	case CodeHangup:
		event.Job.ID = f.u32()
	case CodeRequest:
		event.decodeRequest(f)
	case CodePeerMessage:
		event.From = int(f.u32())
		event.Data = f.bytes(int64(f.u16()))
	case CodeProbeResult:
		event.Status = f.status()
		event.Latency = decide.Time(f.u32())
		event.Worker = f.worker()
		event.decodeReport(f)
	}
	return true
}

func (d *Decoder) decodePage(f *recordReader) {
	page, rows := int(f.u16()), int64(f.u32())
	if page >= maxListPages {
		f.problem = "list number above 15"
		return
	}
	if rows*listEntryLen > int64(len(f.data)-f.offset) {
		f.truncated = true
		return
	}
	list := d.pages[page][:0]
	if list == nil {
		list = make([]decide.Worker, 0, rows)
	}
	for i := int64(0); i < rows; i++ {
		w := decide.Worker{ID: f.worker(), Zone: int(f.u8()), Kind: int(f.u8()), Cell: int(f.u16())}
		state := f.u8()
		if state > uint8(decide.Draining) {
			f.problem = "unknown state of a list entry"
			return
		}
		w.State = decide.State(state)
		w.Weight = f.f32()
		w.StartedAt = f.time()
		list = append(list, w)
	}
	d.pages[page] = list
}

func (d *Decoder) decodeAnnounce(f *recordReader) {
	kind := f.u8()
	if kind > uint8(decide.ListFailed) {
		f.problem = "unknown kind of list"
		return
	}
	d.event.ListKind = decide.ListKind(kind)
	f.u32() // list version; not needed because the protocol keeps the order
	d.event.Page = int(f.u16())
	if _, ok := d.Workers(d.event.Page); !ok && d.event.ListKind != decide.ListFailed && !f.truncated {
		f.problem = "refers to a list that was never sent"
	}
}

func (d *Decoder) decodeOutcome(f *recordReader) {
	e := &d.event
	e.Outcome.Job = f.u32()
	e.Outcome.Worker = f.worker()
	e.Outcome.Closed = f.u8() != 0
	f.u32() // family-specific note; no decision depends on it
	e.Outcome.Latency = decide.Time(f.u32())
	e.Outcome.Attempt = int(f.u16())
	e.Outcome.Status = f.status()
	e.decodeReport(f)
}

func (e *Event) decodeRequest(f *recordReader) {
	job := decide.Job{ID: f.u32(), Class: int(f.u16()), Tenant: int(f.u16()), Key: f.u64(), GiveUpAt: f.time()}
	hint := decide.Time(f.u32())
	job.Slots = f.f32()
	job.Memory = f.f32()
	if f.u8()&1 != 0 {
		job.Hint = hint
	}
	e.Job = job
}

func (e *Event) decodeReport(f *recordReader) {
	count := int(f.u8())
	e.ValueCount = 0
	for i := 0; i < count; i++ {
		v := float32(f.f32())
		if i < len(e.Values) {
			e.Values[i] = v
			e.ValueCount++
		}
	}
}

// recordReader reads the fields of one record. It records the first read past the end in truncated and
// an invalid value in problem.
type recordReader struct {
	data      []byte
	offset    int
	truncated bool
	problem   string
}

func (f *recordReader) take(n int) []byte {
	if f.truncated || n > len(f.data)-f.offset {
		f.truncated = true
		return nil
	}
	b := f.data[f.offset : f.offset+n]
	f.offset += n
	return b
}

func (f *recordReader) u8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *recordReader) u16() uint16 {
	if b := f.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *recordReader) u32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *recordReader) u64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *recordReader) time() decide.Time {
	v := f.u64()
	if v > math.MaxInt64 {
		v = math.MaxInt64
	}
	return decide.Time(v)
}

func (f *recordReader) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *recordReader) worker() decide.WorkerID {
	host, port := f.u32(), f.u16()
	return decide.WorkerID(uint64(host)<<16 | uint64(port))
}

func (f *recordReader) status() decide.Status {
	s := f.u8()
	if s > uint8(decide.NotSent) && !f.truncated {
		f.problem = "unknown outcome"
	}
	return decide.Status(s)
}

func (f *recordReader) bytes(n int64) []byte {
	if f.truncated || n > int64(len(f.data)-f.offset) {
		f.truncated = true
		return nil
	}
	return f.take(int(n))
}
