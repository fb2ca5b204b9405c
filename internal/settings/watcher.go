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

// checkInterval is how often the watcher looks at the file, since it may change without a signal.
const checkInterval = 2 * time.Second

// Watcher reads the settings file anew on SIGHUP and when its time or size changes.
type Watcher struct {
	path     string
	onChange func(*Settings)
	log      *zap.Logger

	body []byte // the newest usable content
	seen stamp  // the file at the last reading, usable or not
	told string // the complaint that was logged last
}

// stamp tells one state of a file from another without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

// NewWatcher returns a watcher of the file that the environment variable names. It calls onChange, from Run's goroutine,
// with each new content that can be used; current is what the process started with. A file that can't be used changes
// nothing and is logged once.
func NewWatcher(current *Settings, onChange func(*Settings), log *zap.Logger) *Watcher {
	return newWatcher(os.Getenv(EnvVariable), current, onChange, log)
}

func newWatcher(path string, current *Settings, onChange func(*Settings), log *zap.Logger) *Watcher {
	return &Watcher{path: path, onChange: onChange, log: log, body: current.body}
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.reread(w.current())
		case <-ticker.C:
			w.look()
		}
	}
}

// look rereads the file if it has another time or size than before.
func (w *Watcher) look() {
	if now := w.current(); now != w.seen {
		w.reread(now)
	}
}

// current returns the stamp of the file, zero if there is none.
func (w *Watcher) current() stamp {
	info, err := os.Stat(w.path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

// reread reads the file. Its stamp was taken before, so that a write during the reading is seen at the next look.
func (w *Watcher) reread(now stamp) {
	w.seen = now
	next, err := LoadFile(w.path)
	if err != nil {
		w.complain(err)
		return
	}
	w.told = ""
	if bytes.Equal(next.body, w.body) {
		return
	}
	w.body = next.body
	w.onChange(next)
}

func (w *Watcher) complain(err error) {
	if err.Error() == w.told {
		return
	}
	w.told = err.Error()
	w.log.Warn("settings file not usable, keeping the previous ones", zap.String("error", w.told))
}
