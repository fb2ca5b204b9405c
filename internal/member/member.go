// Package member gives an engine its workers from places other than a discovery service: from the operator's file
// itself, or from a file of their own that is watched. Both stand behind engine.Directory, as discovery does. It owns
// the watch on that file. It must never touch the loop's state but by Post, and a file that can't be read changes
// nothing.
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

// Static is a list that stands until Set.
type Static struct {
	Engine *engine.Engine
	list   []engine.Entry
}

// Set takes another list. Only for code on the loop.
func (s *Static) Set(list []engine.Entry) {
	s.list = list
	s.Reload()
}

// Watch implements engine.Directory: there is nothing to wait for.
func (s *Static) Watch(on bool) {
	if on {
		s.Reload()
	}
}

// Reload implements engine.Directory.
func (s *Static) Reload() {
	s.Engine.Defer(func() { s.Engine.Announce(decide.ListFull, s.list) })
}

// maxFile bounds a list's file.
const maxFile = 1 << 20

// File is a list in a file, in the form in which discovery answers. It is read at first, and again whenever it has
// changed and then stayed as it is for the pause.
type File struct {
	Static
	path    string
	service string
	pause   time.Duration
	watcher *fsnotify.Watcher
	stop    sync.Once
}

// WatchFile starts to watch the file. One that can't be read now is an error; later it is a line in the log.
func WatchFile(e *engine.Engine, service, path string, pause time.Duration) (*File, error) {
	f := &File{Static: Static{Engine: e}, path: path, service: service, pause: pause}
	list, err := f.read()
	if err != nil {
		return nil, err
	}
	f.list = list
	if f.watcher, err = fsnotify.NewWatcher(); err != nil {
		return nil, err
	}
	// The folder, not the file: most writers put a new file in its place.
	if err := f.watcher.Add(filepath.Dir(path)); err != nil {
		f.watcher.Close()
		return nil, err
	}
	go f.run()
	return f, nil
}

// Close ends the watch.
func (f *File) Close() { f.stop.Do(func() { f.watcher.Close() }) }

func (f *File) read() ([]engine.Entry, error) {
	if info, err := os.Stat(f.path); err != nil {
		return nil, err
	} else if info.Size() > maxFile {
		return nil, &os.PathError{Op: "read", Path: f.path, Err: os.ErrInvalid}
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	return jobs.ReadList(text)
}

func (f *File) run() {
	still := time.NewTimer(time.Hour)
	still.Stop()
	for {
		select {
		case ev, ok := <-f.watcher.Events:
			if !ok {
				return
			}
			if filepath.Clean(ev.Name) == filepath.Clean(f.path) {
				still.Reset(f.pause)
			}
		case err, ok := <-f.watcher.Errors:
			if !ok {
				return
			}
			slog.Error("watch of a worker file", "service", f.service, "why", err)
		case <-still.C:
			list, err := f.read()
			if err != nil {
				slog.Error("worker file not taken", "service", f.service, "why", err)
				continue
			}
			f.Engine.Post(func() { f.Set(list) })
		}
	}
}
