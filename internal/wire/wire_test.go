package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"weldscale/decide"
)

// parseHex decodes handwritten hexadecimal bytes. It ignores spaces and comments after a slash.
func parseHex(t testing.TB, text string) []byte {
	t.Helper()
	var clean strings.Builder
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "/")
		clean.WriteString(strings.Join(strings.Fields(line), ""))
	}
	b, err := hex.DecodeString(clean.String())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame prepends a header with the correct length and the given record count to records.
func frame(records []byte, count uint32) []byte {
	n := uint32(len(records) + headerLen)
	b := []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), 0, 0, 0, 0, 0, 1, 0x86, 0xa0}
	b = append(b, byte(count>>24), byte(count>>16), byte(count>>8), byte(count))
	return append(b, records...)
}

func TestDecodeGolden(t *testing.T) {
	in := parseHex(t, `
		14 00000034 0002 00000002                                              / list page 2 with two entries
		   c0a80001 1f90 01 00 0007 01 3f800000 0000000000000000
		   c0a80002 1f91 02 01 0008 02 40000000 00000000000f4240
		1e 0000000b 00000009 01 00000005 0002                                  / page 2 is the full list of instance 9
		64 00000029 00000009 000000aa 0001 0002 0000000000000010 00000000000f4240 00000bb8 40000000 3f000000 01
		32 00000015 00000009 000000aa 0003 c0a80001 1f90 02 3e800000           / progress: 0.25
		46 00000023 00000009 000000aa c0a80001 1f90 01 00000000 00000064 0003 05 02 3f800000 bf800000
		78 00000010 00000009 03 000003e8 c0a80002 1f91 00                      / timed-out probe
		28 0000000c 00000009 0123456789abcdef
		fa 00000003 ffffff                                                     / unknown code: skipped
		6e 0000000c 00000009 00000004 0002 beef
		5a 00000008 00000009 000000aa
		0a 00000014 00000009 000000ab c0a80001 1f90 00000007 0001
		3c 00000004 00000009`)
	decoder := NewDecoder(bytes.NewReader(frame(in, 12)))
	if err := decoder.Read(); err != nil {
		t.Fatal(err)
	}
	if decoder.Now() != 100000 {
		t.Errorf("clock is %d, want 100000", decoder.Now())
	}
	next := func(code uint8) *Event {
		t.Helper()
		event, err := decoder.Next()
		if err != nil || event == nil || event.Code != code || event.Instance != 9 {
			t.Fatalf("event %+v, error %v, want code %d", event, err, code)
		}
		return event
	}
	const w1, w2 = decide.WorkerID(0xc0a800011f90), decide.WorkerID(0xc0a800021f91)
	event := next(CodeAnnounce)
	list, ok := decoder.Workers(event.Page)
	if !ok || event.ListKind != decide.ListFull || len(list) != 2 {
		t.Fatalf("list %+v", list)
	}
	if want := (decide.Worker{ID: w1, Zone: 1, Cell: 7, State: decide.Ready, Weight: 1}); list[0] != want {
		t.Errorf("entry %+v", list[0])
	}
	want := decide.Worker{ID: w2, Zone: 2, Kind: 1, Cell: 8, State: decide.Draining, Weight: 2, StartedAt: 1000000}
	if list[1] != want {
		t.Errorf("entry %+v", list[1])
	}
	event = next(CodeRequest)
	job := decide.Job{ID: 0xaa, Class: 1, Tenant: 2, Key: 16, GiveUpAt: 1000000, Hint: 3000, Slots: 2, Memory: 0.5}
	if event.Job != job {
		t.Errorf("job %+v", event.Job)
	}
	event = next(CodeNote)
	if event.Job.ID != 0xaa || event.Outcome.Attempt != 3 || event.Outcome.Worker != w1 || event.Note != decide.NoteProgress || event.Value != 0.25 {
		t.Errorf("note %+v", event)
	}
	event = next(CodeOutcome)
	outcome := decide.Outcome{Job: 0xaa, Attempt: 3, Worker: w1, Status: decide.Reset, Closed: true, Latency: 100}
	if event.Outcome != outcome || event.ValueCount != 2 || event.Values[0] != 1 || event.Values[1] != -1 {
		t.Errorf("outcome %+v", event)
	}
	event = next(CodeProbeResult)
	if event.Worker != w2 || event.Status != decide.TimedOut || event.Latency != 1000 || event.ValueCount != 0 {
		t.Errorf("probe %+v", event)
	}
	if event = next(CodeTimer); event.Token != 0x0123456789abcdef {
		t.Errorf("token %x", event.Token)
	}
	if event = next(CodePeerMessage); event.From != 4 || !bytes.Equal(event.Data, []byte{0xbe, 0xef}) {
		t.Errorf("message %+v", event)
	}
	if event = next(CodeHangup); event.Job.ID != 0xaa {
		t.Errorf("hangup %+v", event)
	}
	if event = next(CodeStreamStarted); event.Job.ID != 0xab || event.Outcome.Attempt != 1 {
		t.Errorf("stream started %+v", event)
	}
	next(CodeInstanceEnd)
	if e, err := decoder.Next(); e != nil || err != nil {
		t.Errorf("after the last record: %+v, %v", e, err)
	}
	if err := decoder.Read(); err != io.EOF {
		t.Errorf("at the end of input: %v", err)
	}
}

func TestEncodeGolden(t *testing.T) {
	encoder := NewEncoder()
	encoder.SetInstance(9)
	encoder.Push(0xaa, 0xc0a800011f90, 80000)
	encoder.Push(0xaa, 0xc0a800011f90, -5)
	encoder.Probe(0xc0a800021f91)
	encoder.Cancel(0xaa, 3)
	encoder.Refuse(0xaa, 250)
	encoder.Fail(0xab)
	encoder.Watch(true)
	encoder.Reload()
	encoder.Wake(1<<40, 7)
	encoder.SendPeer(decide.PeerAll, []byte{1})
	encoder.SendPeer(3, nil)
	encoder.BailOut("no")
	want := parseHex(t, `
		000000be
		46 00000012 00000009 000000aa c0a80001 1f90 00013880
		46 00000012 00000009 000000aa c0a80001 1f90 00000001
		64 0000000a 00000009 c0a80002 1f91
		3c 0000000a 00000009 000000aa 0003
		0a 0000000c 00000009 000000aa 000000fa
		5a 00000008 00000009 000000ab
		28 00000005 00000009 01
		6e 00000004 00000009
		1e 00000010 00000009 7fffffff 0000000000000007
		78 00000009 00000009 ffff 0001 01
		78 00000008 00000009 0003 0000
		32 00000008 00000009 0002 6e6f`)
	var out bytes.Buffer
	if err := encoder.Flush(&out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
	out.Reset()
	if err := encoder.Flush(&out); err != nil || !bytes.Equal(out.Bytes(), []byte{0, 0, 0, 4}) {
		t.Errorf("empty reply is %x, error %v", out.Bytes(), err)
	}
}

// readAll decodes all batches in b and returns the first error.
func readAll(b []byte) error {
	d := NewDecoder(bytes.NewReader(b))
	for {
		if err := d.Read(); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		for {
			e, err := d.Next()
			if err != nil {
				return err
			}
			if e == nil {
				break
			}
		}
	}
}

func TestDecodeErrorsLocateTheDamage(t *testing.T) {
	timer := parseHex(t, "28 0000000c 00000009 0000000000000001")
	intact := frame(timer, 1)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"ends in the header":     {intact[:3], "offset 3"},
		"ends in the frame":      {intact[:20], "ends inside the frame"},
		"length too small":       {[]byte{0, 0, 0, 5, 1}, "frame length 5"},
		"length too large":       {[]byte{0xff, 0xff, 0xff, 0xff}, "frame length"},
		"length without content": {[]byte{0x3f, 0, 0, 0, 1, 2, 3}, "ends inside the frame"},
		"record exceeds frame":   {frame(parseHex(t, "28 000000ff 00000009"), 1), "record 0, offset 17"},
		"record too short":       {frame(parseHex(t, "28 00000006 00000009 0000"), 1), "record 0, offset 25"},
		"count too high":         {frame(timer, 2), "record 1"},
		"count too low":          {frame(timer, 0), "bytes after the last record"},
		"page rows past record":  {frame(parseHex(t, "14 00000006 0001 7fffffff"), 1), "inside a field"},
		"page number":            {frame(parseHex(t, "14 00000006 0010 00000000"), 1), "above 15"},
		"list never sent":        {frame(parseHex(t, "1e 0000000b 00000003 00 00000029 0004"), 1), "never sent"},
		"unknown outcome":        {frame(parseHex(t, "78 00000010 00000009 09 000003e8 c0a80002 1f91 00"), 1), "unknown outcome"},
		"params past record":     {frame(parseHex(t, "50 00000010 00000009 0000000000000001 7fffffff"), 1), "inside a field"},
	} {
		if err := readAll(c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
	if err := readAll(intact[:20]); !errors.Is(err, ErrTruncated) {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(parseHex(f, "28 0000000c 00000009 0000000000000001"), 1))
	f.Add(frame(parseHex(f, "14 0000001d 0002 00000001 c0a80001 1f90 01 00 0007 01 3f800000 0000000000000000"), 1))
	f.Add(frame(parseHex(f, "78 00000010 00000009 03 000003e8 c0a80002 1f91 00"), 1))
	f.Add([]byte{0x3f, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(_ *testing.T, b []byte) { _ = readAll(b) })
}

// Once the buffers have grown, a batch may cost at most two allocations, however many events it has.
func TestDecodingDoesNotAllocate(t *testing.T) {
	record := parseHex(t, "78 00000014 00000003 01 00000578 0a9011f2 1f6c 01 3ecccccd")
	var records []byte
	for range 1000 {
		records = append(records, record...)
	}
	input := frame(records, 1000)
	r := bytes.NewReader(input)
	decoder := NewDecoder(r)
	encoder := NewEncoder()
	allocsPerBatch := testing.AllocsPerRun(20, func() {
		r.Reset(input)
		if err := decoder.Read(); err != nil {
			t.Fatal(err)
		}
		for {
			ev, err := decoder.Next()
			if err != nil {
				t.Fatal(err)
			}
			if ev == nil {
				break
			}
			encoder.Probe(ev.Worker)
		}
		if err := encoder.Flush(io.Discard); err != nil {
			t.Fatal(err)
		}
	})
	if allocsPerBatch > 2 {
		t.Errorf("%.0f allocations for a batch of 1000 events", allocsPerBatch)
	}
}

// settingsText contains the settings of a small site.
const settingsText = `balancers=3
classes.count=2
classes.0.aim_us=100000
classes.0.deadline_us=1000000
classes.0.effect=read_like
classes.0.worth=1.5
classes.1.aim_us=200000
classes.1.deadline_us=2000000
classes.1.effect=idempotency_key
classes.1.key_scope=cell
classes.1.memory_span_us=4000000
classes.1.worth=2
discovery=subscribe
family_info.class_stretch=2.5,1.5
family_info.report_x0=free_slots
limits.max_attempts=3
limits.probes=true
accounts.count=1
accounts.0.allowance_per_s=12.5
obligations.ask_within_us=9000000
obligations.cold_from=0.2
obligations.cold_us=8000000
obligations.drain_grace_us=400000
obligations.overload_for_us=1000000
obligations.tip_multiple=3
report.fields=cpu,x0,x1
resolution_us=1000
some.new.key=whatever
zone=1
zones=north,south
`

func TestParseSettings(t *testing.T) {
	s, layout, err := ParseSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	if s.Nodes != 3 || s.Zones != 2 || s.Zone != 1 || !s.MustAsk || s.AskWithin != 9000000 || !s.CanProbe || s.CanMessagePeers ||
		len(s.Classes) != 2 || s.Classes[1].Scope != decide.ScopeCell || s.Classes[1].Stretch != 1.5 ||
		s.Classes[0].Kind != -1 || len(s.Tenants) != 1 || s.Tenants[0].Allowance != 12.5 {
		t.Errorf("settings %+v", s)
	}
	if _, err := decide.New(s, 1, NewEncoder()); err != nil {
		t.Error(err)
	}
	r := layout.Report([]float32{0.5, 3, 9})
	if r.Has != decide.HasUtil|decide.HasFreeSlots || r.Util != 0.5 || r.FreeSlots != 3 {
		t.Errorf("report %+v", r)
	}
	if r := layout.Report([]float32{float32(math.NaN()), float32(math.Inf(1))}); r.Has != 0 {
		t.Errorf("report of values that are not finite: %+v", r)
	}
	if r := layout.Report(nil); r.Has != 0 {
		t.Errorf("report of no values: %+v", r)
	}
}

func TestSettingsErrorsNameTheKey(t *testing.T) {
	for key, value := range map[string]string{
		"balancers":                  "",
		"zone":                       "south",
		"classes.count":              "-1",
		"classes.0.effect":           "maybe",
		"classes.1.memory_span_us":   "",
		"classes.1.key_scope":        "moon",
		"classes.0.worth":            "NaN",
		"discovery":                  "osmosis",
		"limits.probes":              "perhaps",
		"obligations.cold_from":      "warm",
		"accounts.0.allowance_per_s": "many",
		"family_info.class_stretch":  "wide,1",
	} {
		var text strings.Builder
		for line := range strings.Lines(settingsText) {
			if !strings.HasPrefix(line, key+"=") {
				text.WriteString(line)
			}
		}
		if value != "" {
			text.WriteString(key + "=" + value + "\n")
		}
		if _, _, err := ParseSettings([]byte(text.String())); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s=%s: error %v", key, value, err)
		}
	}
}
