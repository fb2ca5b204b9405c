package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// checkInterval is the interval at which the watcher checks the file, because it may change without a signal.
const checkInterval = 2 * time.Second

// Watcher reloads the settings file on SIGHUP and when its modification time or size changes.
type Watcher struct {
	path     string
	onChange func(*Settings)
	log      *zap.Logger

	body      []byte    // content of the latest valid file
	lastState fileState // state of the file at the last load, valid or not
	lastError string    // the error that was logged last
}

// fileState identifies a version of a file without reading it.
type fileState struct {
	modified time.Time
	size     int64
}

// NewWatcher returns a watcher of the file whose path is in EnvVariable. It calls onChange on the goroutine of Run with each
// new valid content. The parameter current holds the settings that the process started with. An invalid file is logged once
// and otherwise ignored.
func NewWatcher(current *Settings, onChange func(*Settings), log *zap.Logger) *Watcher {
	return newWatcher(os.Getenv(EnvVariable), current, onChange, log)
}

func newWatcher(path string, current *Settings, onChange func(*Settings), log *zap.Logger) *Watcher {
	return &Watcher{path: path, onChange: onChange, log: log, body: current.body}
}

// Run watches the file until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.reload(w.state())
		case <-ticker.C:
			w.reloadIfChanged()
		}
	}
}

// reloadIfChanged reloads the file if its modification time or size differs from the last load.
func (w *Watcher) reloadIfChanged() {
	if state := w.state(); state != w.lastState {
		w.reload(state)
	}
}

// state returns the state of the file, or the zero value if the file can't be read.
func (w *Watcher) state() fileState {
	info, err := os.Stat(w.path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// reload loads the file. The caller determines the file's state before the load, so that a write during the load is noticed
// at the next check.
func (w *Watcher) reload(state fileState) {
	w.lastState = state
	next, err := LoadFile(w.path)
	if err != nil {
		w.logOnce(err)
		return
	}
	w.lastError = ""
	if bytes.Equal(next.body, w.body) {
		return
	}
	w.body = next.body
	w.onChange(next)
}

// logOnce logs an error unless it is the one that was logged last.
func (w *Watcher) logOnce(err error) {
	if err.Error() == w.lastError {
		return
	}
	w.lastError = err.Error()
	w.log.Warn("settings file not usable, keeping the previous ones", zap.String("error", w.lastError))
}
