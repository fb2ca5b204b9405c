package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `balancers=2
classes.count=1
classes.0.aim_us=100000
classes.0.deadline_us=5000000
classes.0.effect=non_idempotent
classes.0.worth=1
discovery=automatic
family_info.report_x0=free_slots
limits.max_attempts=3
limits.probes=true
obligations.cold_from=0.2
obligations.cold_us=8000000
obligations.drain_grace_us=400000
obligations.overload_for_us=1000000
obligations.tip_multiple=3
report.fields=x0
resolution_us=1000
zone=0
zones=here
`

// batch builds frames independently of the codec under test.
type batch struct {
	records []byte
	count   uint32
}

func (b *batch) add(code byte, parts ...any) {
	var body []byte
	for _, p := range parts {
		switch v := p.(type) {
		case []byte:
			body = append(body, v...)
		case string:
			body = append(body, v...)
		default:
			body, _ = binary.Append(body, binary.BigEndian, v)
		}
	}
	b.records = append(b.records, code)
	b.records = binary.BigEndian.AppendUint32(b.records, uint32(len(body)))
	b.records = append(b.records, body...)
	b.count++
}

func (b *batch) frame(now uint64) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(len(b.records)+16))
	f = binary.BigEndian.AppendUint64(f, now)
	f = binary.BigEndian.AppendUint32(f, b.count)
	return append(f, b.records...)
}

func workerAddr(i byte) []byte { return []byte{10, 0, 0, i, 0x1f, 0x40} }

// addInstance adds the records that begin an instance, with a list of three ready workers.
func addInstance(b *batch, instance uint32, seed uint64) {
	b.add(80, instance, seed, uint32(len(settings)), settings)
	var entries []byte
	for i := byte(1); i <= 3; i++ {
		entries = append(entries, workerAddr(i)...)
		entries = append(entries, 0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	}
	b.add(20, uint16(0), uint32(3), entries)
	b.add(30, instance, byte(2), uint32(1), uint16(0))
}

// reply holds the bodies of the actions of one reply by action code.
type reply map[byte][][]byte

func readReply(t *testing.T, r io.Reader) reply {
	t.Helper()
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:])-4)
	if _, err := io.ReadFull(r, b); err != nil {
		t.Fatal(err)
	}
	got := reply{}
	for len(b) > 0 {
		n := 5 + binary.BigEndian.Uint32(b[1:])
		got[b[0]] = append(got[b[0]], b[5:n])
		b = b[n:]
	}
	return got
}

func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// The binary probes two workers for an arriving job, pushes the job to the one with more free slots, and
// exits without an error at the end of input.
func TestBinaryEndToEnd(t *testing.T) {
	cmd := exec.Command(build(t))
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	send := func(b *batch, now uint64) reply {
		t.Helper()
		if _, err := in.Write(b.frame(now)); err != nil {
			t.Fatal(err)
		}
		return readReply(t, out)
	}
	if got := send(&batch{}, 1000000); len(got) != 0 {
		t.Errorf("reply to an empty batch: %v", got)
	}
	b := &batch{}
	addInstance(b, 4, 11)
	addInstance(b, 5, 12)
	b.add(100, uint32(5), uint32(77), uint16(0), uint16(0), uint64(0), uint64(6001000), uint32(0), float32(1), float32(0), byte(0))
	got := send(b, 1001000)
	if len(got[100]) != 2 || len(got[70]) != 0 || len(got[30]) == 0 {
		t.Fatalf("reply to an arrival: %v", got)
	}
	b = &batch{}
	first := got[100][0][4:10]
	b.add(120, uint32(5), byte(1), uint32(500), first, byte(1), float32(3))
	b.add(120, uint32(5), byte(1), uint32(500), got[100][1][4:10], byte(1), float32(1))
	got = send(b, 1001500)
	if len(got[70]) != 1 || !bytes.Equal(got[70][0][8:14], first) {
		t.Fatalf("reply to the probe results: %v", got)
	}
	b = &batch{}
	b.add(70, uint32(5), uint32(77), first, byte(1), uint32(0), uint32(900), uint16(0), byte(1), byte(0))
	b.add(60, uint32(4))
	if got = send(b, 1002500); len(got[10])+len(got[90]) != 0 {
		t.Errorf("a served job was answered again: %v", got)
	}
	if err := in.Close(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("end of input: %v", err)
	}
}

// Damaged input ends the process with one line on standard error and a non-zero status. Invalid settings
// are reported in the reply for their instance.
func TestBinaryRejectsBadInput(t *testing.T) {
	bin := build(t)
	cmd := exec.Command(bin)
	b := &batch{}
	b.add(40, uint32(1))
	cmd.Stdin = bytes.NewReader(b.frame(5))
	var stderr strings.Builder
	cmd.Stderr = &stderr
	if err := cmd.Run(); err == nil {
		t.Error("exit status 0 after a truncated record")
	}
	if got := stderr.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "record 0, offset 25") {
		t.Errorf("standard error: %q", got)
	}
	b = &batch{}
	b.add(80, uint32(3), uint64(1), uint32(11), "balancers=x")
	var out bytes.Buffer
	if err := serve(bytes.NewReader(b.frame(5)), &out); err != nil {
		t.Fatal(err)
	}
	if got := readReply(t, &out); len(got[50]) != 1 || !strings.Contains(string(got[50][0]), "balancers") {
		t.Errorf("reply %v", got)
	}
}

// The same events must produce the same actions of an instance whether or not other instances run in
// the process.
func TestInstancesAreIndependent(t *testing.T) {
	run := func(instances ...uint32) []byte {
		var in, out bytes.Buffer
		for step := range 40 {
			b := &batch{}
			for _, instance := range instances {
				if step == 0 {
					addInstance(b, instance, 5+uint64(instance))
				}
				b.add(100, instance, uint32(100+step), uint16(0), uint16(0), uint64(0), uint64(9000000), uint32(0), float32(1),
					float32(0), byte(0))
			}
			in.Write(b.frame(uint64(1000000 + 1000*step)))
		}
		if err := serve(&in, &out); err != nil {
			t.Fatal(err)
		}
		var actions []byte
		for out.Len() > 0 {
			var head [4]byte
			_, _ = io.ReadFull(&out, head[:])
			b := out.Next(int(binary.BigEndian.Uint32(head[:])) - 4)
			for len(b) > 0 {
				n := 5 + binary.BigEndian.Uint32(b[1:])
				if binary.BigEndian.Uint32(b[5:]) == 2 {
					actions = append(actions, b[:n]...)
				}
				b = b[n:]
			}
		}
		return actions
	}
	alone := run(2)
	if together := run(1, 2, 3); len(alone) == 0 || !bytes.Equal(alone, together) {
		t.Errorf("actions differ or are empty: %d bytes alone, %d bytes with other instances", len(alone), len(together))
	}
}
