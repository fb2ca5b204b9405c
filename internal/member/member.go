// Package member provides an engine with its list of workers from the operator's file, or from a separate file that it watches.
// Both implement engine.Directory, as service discovery does. The package changes the engine's state only on the engine's loop.
// A watched file that cannot be read or parsed leaves the list unchanged.
package member

import (
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/jobs"
)

// Static is a list of workers that changes only by Set.
type Static struct {
	Engine  *engine.Engine
	workers []engine.Entry
}

// Set replaces the list. It must be called on the engine's loop.
func (s *Static) Set(workers []engine.Entry) {
	s.workers = workers
	s.Reload()
}

// Watch implements engine.Directory. The list is available at once.
func (s *Static) Watch(on bool) {
	if on {
		s.Reload()
	}
}

// Reload implements engine.Directory.
func (s *Static) Reload() {
	s.Engine.Defer(func() { s.Engine.Announce(decide.ListFull, s.workers) })
}

// maxFileSize bounds the size of a file of workers, in bytes.
const maxFileSize = 1 << 20

// File is a list of workers in a file, in the format of the discovery service's replies. The file is read again after it has
// changed and has then stayed unchanged for settleTime.
type File struct {
	Static
	path       string
	service    string
	settleTime time.Duration
	watcher    *fsnotify.Watcher
	closeOnce  sync.Once
}

// WatchFile reads the file and starts to watch it. It returns an error if either fails. Later read errors are logged.
func WatchFile(e *engine.Engine, service, path string, settleTime time.Duration) (*File, error) {
	f := &File{Static: Static{Engine: e}, path: path, service: service, settleTime: settleTime}
	workers, err := f.read()
	if err != nil {
		return nil, err
	}
	f.workers = workers
	if f.watcher, err = fsnotify.NewWatcher(); err != nil {
		return nil, err
	}
	// The directory is watched instead of the file, because most writers replace the file by a new one.
	if err := f.watcher.Add(filepath.Dir(path)); err != nil {
		f.watcher.Close()
		return nil, err
	}
	go f.run()
	return f, nil
}

// Close stops watching the file.
func (f *File) Close() { f.closeOnce.Do(func() { f.watcher.Close() }) }

func (f *File) read() ([]engine.Entry, error) {
	if info, err := os.Stat(f.path); err != nil {
		return nil, err
	} else if info.Size() > maxFileSize {
		return nil, &os.PathError{Op: "read", Path: f.path, Err: os.ErrInvalid}
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	return jobs.ReadList(text)
}

// run reads the file after changes, until Close.
func (f *File) run() {
	settled := time.NewTimer(time.Hour)
	settled.Stop()
	for {
		select {
		case event, ok := <-f.watcher.Events:
			if !ok {
				return
			}
			if filepath.Clean(event.Name) == filepath.Clean(f.path) {
				settled.Reset(f.settleTime)
			}
		case err, ok := <-f.watcher.Errors:
			if !ok {
				return
			}
			slog.Error("watch of a worker file", "service", f.service, "why", err)
		case <-settled.C:
			workers, err := f.read()
			if err != nil {
				slog.Error("worker file not taken", "service", f.service, "why", err)
				continue
			}
			f.Engine.Post(func() { f.Set(workers) })
		}
	}
}
