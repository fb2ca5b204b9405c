package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutIsLostUnlessExcused(t *testing.T) {
	const whole = 10 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cut := func(sent, closed float64) Cut {
		return Cut{ID: "a", Router: "r", Sent: at(sent), Closed: at(closed), DeadlineAt: at(sent).Add(whole)}
	}
	forwarded := func(c *Checker) { c.Arrived(Arrival{ID: "a", Worker: "w", At: start}) }
	terminated := func(c *Checker) { forwarded(c); c.RouterTerminated("r", at(0)) }
	for name, testCase := range map[string]struct {
		observe func(*Checker)
		cut     Cut
		lost    bool
	}{
		"sent while the connection closed":                  {func(*Checker) {}, cut(0, 0.1), false},
		"reached a worker":                                  {forwarded, cut(0, 0.1), true},
		"deadline reached":                                  {forwarded, cut(0, 10), false},
		"router killed":                                     {func(c *Checker) { forwarded(c); c.RouterKilled("r", at(1)) }, cut(0, 1), false},
		"another router killed":                             {func(c *Checker) { forwarded(c); c.RouterKilled("s", at(1)) }, cut(0, 1), true},
		"worker aborted the answer":                         {func(c *Checker) { forwarded(c); c.AnswerAborted("a") }, cut(0, 1), false},
		"worker exited":                                     {func(c *Checker) { forwarded(c); c.Ran(run("a", "w")); c.WorkerExited("w") }, cut(0, 1), false},
		"cut early in the grace period":                     {terminated, cut(-6, 2), true},
		"sent before SIGTERM, cut late in the grace period": {terminated, cut(-1, 7), false},
		"sent after SIGTERM, with time left":                {terminated, cut(2, 7), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultBounds)
			c.Sent(request("a"))
			testCase.observe(c)
			c.ConnectionCut(testCase.cut)
			require.Equal(t, testCase.lost, len(c.Violations()) > 0, c.Report())
		})
	}
}
