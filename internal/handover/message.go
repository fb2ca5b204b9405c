// Package handover is what two processes of one scheduler say to each other while one takes the other's place: what is
// taken out by hand, news of the worker list, and connections with what is known of them. It owns the messages, the links
// between processes and the file that outlives a process. It must never touch the loop or a scheduler's state: what comes
// is handed to a Handler, and descriptors are passed as they are.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Version is that of the messages and of the file. Processes of different versions go on as if alone.
const Version = 1

// MaxMessage bounds a message, in bytes; a job with the longest body is about half of it.
const MaxMessage = 192 << 10

// Kind says what a message is about.
type Kind string

// The kinds.
const (
	KindHello      Kind = "hello"  // the first on a link, both ways
	KindOffline    Kind = "out"    // a worker is taken out or put back; answered by Done
	KindApplied    Kind = "done"   // it is in force here too
	KindList       Kind = "list"   // news of the worker list
	KindIdleClient Kind = "client" // with a descriptor: a client's connection between two requests
	KindJob        Kind = "job"    // with one or two: a client's connection with its job, a worker's with the attempt
	KindStopping   Kind = "stops"  // who says it ends soon: nothing more is to be passed to it
)

// Message is one packet.
type Message struct {
	Version int             `json:"v"`
	Kind    Kind            `json:"kind"`
	Number  uint64          `json:"number,omitempty"` // of an Out, and of the Done that answers it
	Hello   *Hello          `json:"hello,omitempty"`
	Worker  string          `json:"worker,omitempty"`
	Away    bool            `json:"away,omitempty"`
	Index   int64           `json:"index,omitempty"`
	List    json.RawMessage `json:"list,omitempty"`
	Job     json.RawMessage `json:"job,omitempty"`
}

// Hello is how a process stands.
type Hello struct {
	Process string          `json:"process"` // its name among the processes of one directory
	Started int64           `json:"started"` // microseconds of Unix time; who started first is the elder
	Open    int             `json:"open"`    // descriptors in use
	Out     []string        `json:"out"`     // workers taken out by hand
	List    json.RawMessage `json:"list"`    // in discovery's form
	Learnt  json.RawMessage `json:"learnt"`  // what the decisions have learnt of the fleet
}

// Encode returns a message as a packet.
func Encode(m Message) ([]byte, error) {
	m.Version = Version
	b, err := json.Marshal(m)
	if err == nil && len(b) > MaxMessage {
		err = fmt.Errorf("message of %d bytes; at most %d", len(b), MaxMessage)
	}
	return b, err
}

// Decode reads a packet.
func Decode(b []byte) (m Message, err error) {
	if err := json.Unmarshal(b, &m); err != nil {
		return m, err
	}
	switch {
	case m.Version != Version:
		return m, fmt.Errorf("version %d; this process speaks %d", m.Version, Version)
	case m.Kind == KindHello && (m.Hello == nil || m.Hello.Process == ""):
		return m, errors.New("hello without a process")
	case m.Kind == KindOffline && m.Worker == "":
		return m, errors.New("out without a worker")
	case m.Kind == KindJob && len(m.Job) == 0:
		return m, errors.New("job without a job")
	}
	return m, nil
}

// saved is the file: what is out by hand, for a process that starts when no other lives.
type saved struct {
	Version int      `json:"v"`
	Out     []string `json:"out"`
}

func savedPath(dir, name string) string { return filepath.Join(dir, fileName(name)+".out") }

// fileName is what the files of a scheduler's processes begin with, whatever its name has in it.
func fileName(name string) string { return "weldscale-" + strings.ReplaceAll(name, "/", "_") }

// SaveOffline writes the file as a whole: whoever reads it meanwhile sees the old one.
func SaveOffline(dir, name string, out []string) error {
	b, err := json.Marshal(saved{Version, out})
	if err != nil {
		return err
	}
	path := savedPath(dir, name)
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// LoadOffline reads the file. None is no error.
func LoadOffline(dir, name string) ([]string, error) {
	b, err := os.ReadFile(savedPath(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var s saved
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", savedPath(dir, name), err)
	}
	if s.Version != Version {
		return nil, fmt.Errorf("%s: version %d; this process reads %d", savedPath(dir, name), s.Version, Version)
	}
	return s.Out, nil
}
