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

// watched is a watcher of a file in a test's own folder.
type watched struct {
	*Watcher
	taken  []*Settings
	logged *observer.ObservedLogs
}

func watch(t *testing.T) *watched {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	write(t, path, routerFile)
	current, err := LoadFile(path)
	require.NoError(t, err)
	core, logged := observer.New(zapcore.DebugLevel)
	w := &watched{logged: logged}
	w.Watcher = newWatcher(path, current, func(next *Settings) { w.taken = append(w.taken, next) }, zap.New(core))
	return w
}

func write(t *testing.T, path, content string) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
}

func (w *watched) hangUp() { w.reread(w.current()) }

func other(name string) string { return strings.Replace(routerFile, "frontend-a-1", name, 1) }

func TestWatcherTakesAChangedFile(t *testing.T) {
	w := watch(t)
	w.look()
	assert.Empty(t, w.taken, "nothing has changed")
	write(t, w.path, other("renamed"))
	w.look()
	require.Len(t, w.taken, 1)
	assert.Equal(t, "renamed", w.taken[0].NodeName)
	w.look()
	assert.Len(t, w.taken, 1)
}

func TestWatcherRereadsOnHangUpWhateverTheTimeOfTheFile(t *testing.T) {
	w := watch(t)
	w.look()
	info, err := os.Stat(w.path)
	require.NoError(t, err)
	write(t, w.path, other("frontend-b-1")) // of the same length
	require.NoError(t, os.Chtimes(w.path, info.ModTime(), info.ModTime()))
	w.look()
	assert.Empty(t, w.taken, "time and size are as they were")
	w.hangUp()
	require.Len(t, w.taken, 1)
	assert.Equal(t, "frontend-b-1", w.taken[0].NodeName)
}

func TestWatcherKeepsTheSettingsWhenTheFileCannotBeUsed(t *testing.T) {
	w := watch(t)
	write(t, w.path, "{")
	w.look()
	w.look()
	w.hangUp()
	assert.Empty(t, w.taken)
	assert.Equal(t, 1, w.logged.Len(), "one line for one fault")

	require.NoError(t, os.Remove(w.path))
	w.look()
	w.look()
	assert.Empty(t, w.taken)
	assert.Equal(t, 2, w.logged.Len())

	write(t, w.path, routerFile)
	w.look()
	assert.Empty(t, w.taken, "back to what was in force")
	write(t, w.path, other("renamed"))
	w.look()
	require.Len(t, w.taken, 1)
	assert.Equal(t, 2, w.logged.Len())
}

// listen returns a channel that gets the signal, so that it does not end the test.
func listen(t *testing.T) <-chan os.Signal {
	t.Helper()
	heard := make(chan os.Signal, 1)
	signal.Notify(heard, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(heard) })
	return heard
}

// TestWatcherHearsTheSignal sends the process the signal that the platform sends.
func TestWatcherHearsTheSignal(t *testing.T) {
	heard := listen(t)
	w := watch(t)
	taken := make(chan *Settings)
	w.onChange = func(next *Settings) { taken <- next }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	write(t, w.path, other("renamed"))
	var next *Settings
	for next == nil {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case next = <-taken:
		case <-heard: // and sent again, as the watcher may not have listened yet
		}
	}
	assert.Equal(t, "renamed", next.NodeName)
	cancel()
	<-ended
}
