package settings

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// testWatcher is a watcher of a file in a temporary folder. It records the settings passed to onChange.
type testWatcher struct {
	*Watcher
	applied []*Settings
	logged  *observer.ObservedLogs
}

func newTestWatcher(t *testing.T) *testWatcher {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	write(t, path, routerFile)
	current, err := LoadFile(path)
	require.NoError(t, err)
	core, logged := observer.New(zapcore.DebugLevel)
	w := &testWatcher{logged: logged}
	w.Watcher = newWatcher(path, current, func(next *Settings) { w.applied = append(w.applied, next) }, zap.New(core))
	return w
}

func write(t *testing.T, path, content string) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
}

// reloadOnSighup does what Run does on SIGHUP.
func (w *testWatcher) reloadOnSighup() { w.reload(w.state()) }

// renamed returns routerFile with another name of the node.
func renamed(name string) string { return strings.Replace(routerFile, "frontend-a-1", name, 1) }

func TestWatcherReloadsAChangedFile(t *testing.T) {
	w := newTestWatcher(t)
	w.reloadIfChanged()
	assert.Empty(t, w.applied, "the file is unchanged")
	write(t, w.path, renamed("renamed"))
	w.reloadIfChanged()
	require.Len(t, w.applied, 1)
	assert.Equal(t, "renamed", w.applied[0].NodeName)
	w.reloadIfChanged()
	assert.Len(t, w.applied, 1)
}

func TestWatcherReloadsOnSighupEvenIfTimeAndSizeAreUnchanged(t *testing.T) {
	w := newTestWatcher(t)
	w.reloadIfChanged()
	info, err := os.Stat(w.path)
	require.NoError(t, err)
	write(t, w.path, renamed("frontend-b-1")) // same length
	require.NoError(t, os.Chtimes(w.path, info.ModTime(), info.ModTime()))
	w.reloadIfChanged()
	assert.Empty(t, w.applied, "modification time and size are unchanged")
	w.reloadOnSighup()
	require.Len(t, w.applied, 1)
	assert.Equal(t, "frontend-b-1", w.applied[0].NodeName)
}

func TestWatcherKeepsTheSettingsWhenTheFileIsInvalid(t *testing.T) {
	w := newTestWatcher(t)
	write(t, w.path, "{")
	w.reloadIfChanged()
	w.reloadIfChanged()
	w.reloadOnSighup()
	assert.Empty(t, w.applied)
	assert.Equal(t, 1, w.logged.Len(), "the same error must be logged once")

	require.NoError(t, os.Remove(w.path))
	w.reloadIfChanged()
	w.reloadIfChanged()
	assert.Empty(t, w.applied)
	assert.Equal(t, 2, w.logged.Len())

	write(t, w.path, routerFile)
	w.reloadIfChanged()
	assert.Empty(t, w.applied, "the content is that of the settings in force")
	write(t, w.path, renamed("renamed"))
	w.reloadIfChanged()
	require.Len(t, w.applied, 1)
	assert.Equal(t, 2, w.logged.Len())
}

// notifySighup returns a channel that receives SIGHUP, so that the signal does not terminate the test.
func notifySighup(t *testing.T) <-chan os.Signal {
	t.Helper()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(signals) })
	return signals
}

// TestWatcherReloadsOnSighup sends the process the signal that the platform sends.
func TestWatcherReloadsOnSighup(t *testing.T) {
	signals := notifySighup(t)
	w := newTestWatcher(t)
	applied := make(chan *Settings)
	w.onChange = func(next *Settings) { applied <- next }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	write(t, w.path, renamed("renamed"))
	var next *Settings
	for next == nil {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case next = <-applied:
		case <-signals: // the signal is sent again, because Run may not have subscribed yet
		}
	}
	assert.Equal(t, "renamed", next.NodeName)
	cancel()
	<-done
}
