// Package handover connects the processes of one scheduler during an upgrade: a new process takes over the offline
// workers, the worker list and the open connections from an old one. The package defines the messages, the links between
// processes and the file of offline workers. It does not access the event loop or the scheduler's state: received
// messages go to a Handler, and descriptors are passed unchanged.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Version is the version of the messages and of the file of offline workers. Processes of different versions do not link.
const Version = 1

// MaxMessage is the maximum size of an encoded message in bytes. A job with a body of the maximum size takes about half
// of it.
const MaxMessage = 192 << 10

// Kind is the type of a message.
type Kind string

// The message kinds.
const (
	KindHello      Kind = "hello"  // the first message in both directions of a link
	KindOffline    Kind = "out"    // sets a worker offline or online; answered by KindApplied
	KindApplied    Kind = "done"   // the KindOffline message with the same number has been applied
	KindList       Kind = "list"   // an update of the worker list
	KindIdleClient Kind = "client" // carries one descriptor: a client connection between two requests
	KindJob        Kind = "job"    // carries a job and one or two descriptors: the client connection, and the worker connection of the attempt
	KindStopping   Kind = "stops"  // the sender is stopping: it must not be given any more connections
)

// Message is one packet on a link.
type Message struct {
	Version int             `json:"v"`
	Kind    Kind            `json:"kind"`
	Number  uint64          `json:"number,omitempty"` // matches a KindApplied message to the KindOffline message that it answers
	Hello   *Hello          `json:"hello,omitempty"`
	Worker  string          `json:"worker,omitempty"` // for KindOffline: the name of the worker
	Away    bool            `json:"away,omitempty"`   // for KindOffline: the worker is set offline (true) or online (false)
	Index   int64           `json:"index,omitempty"`  // for KindList: the index of the update
	List    json.RawMessage `json:"list,omitempty"`
	Job     json.RawMessage `json:"job,omitempty"`
}

// Hello describes the state of a process when a link is established.
type Hello struct {
	Process string          `json:"process"` // random ID of the process, unique in its directory
	Started int64           `json:"started"` // start time in microseconds of Unix time; the process with the lowest value is the oldest
	Open    int             `json:"open"`    // number of descriptors in use
	Out     []string        `json:"out"`     // workers that an operator has set offline
	List    json.RawMessage `json:"list"`    // the worker list in the format of the discovery service
	Learnt  json.RawMessage `json:"learnt"`  // the engine's learned state
}

// Encode returns the packet for a message. It sets the version and fails if the packet would exceed MaxMessage.
func Encode(m Message) ([]byte, error) {
	m.Version = Version
	b, err := json.Marshal(m)
	if err == nil && len(b) > MaxMessage {
		err = fmt.Errorf("message of %d bytes; at most %d", len(b), MaxMessage)
	}
	return b, err
}

// Decode parses a packet. It fails on another version and on messages without the fields that their kind requires.
func Decode(b []byte) (m Message, err error) {
	if err := json.Unmarshal(b, &m); err != nil {
		return m, err
	}
	switch {
	case m.Version != Version:
		return m, fmt.Errorf("unsupported message version %d; this process uses version %d", m.Version, Version)
	case m.Kind == KindHello && (m.Hello == nil || m.Hello.Process == ""):
		return m, errors.New("hello message without a process ID")
	case m.Kind == KindOffline && m.Worker == "":
		return m, errors.New("offline message without a worker")
	case m.Kind == KindJob && len(m.Job) == 0:
		return m, errors.New("job message without a job")
	}
	return m, nil
}

// offlineFile is the content of the file of offline workers, which a process reads at start if no other process is running.
type offlineFile struct {
	Version int      `json:"v"`
	Out     []string `json:"out"`
}

func offlinePath(dir, name string) string { return filepath.Join(dir, filePrefix(name)+".out") }

// filePrefix returns the common prefix of the names of a scheduler's files. Slashes in the scheduler's name are replaced.
func filePrefix(name string) string { return "weldscale-" + strings.ReplaceAll(name, "/", "_") }

// SaveOffline replaces the file of offline workers atomically: a concurrent reader sees the old content or the new one.
func SaveOffline(dir, name string, out []string) error {
	b, err := json.Marshal(offlineFile{Version, out})
	if err != nil {
		return err
	}
	path := offlinePath(dir, name)
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// LoadOffline reads the file of offline workers. It returns nil and no error if the file does not exist.
func LoadOffline(dir, name string) ([]string, error) {
	b, err := os.ReadFile(offlinePath(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var content offlineFile
	if err := json.Unmarshal(b, &content); err != nil {
		return nil, fmt.Errorf("%s: %w", offlinePath(dir, name), err)
	}
	if content.Version != Version {
		return nil, fmt.Errorf("%s: unsupported file version %d; this process reads version %d", offlinePath(dir, name), content.Version, Version)
	}
	return content.Out, nil
}
