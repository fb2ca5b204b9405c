package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestACutIsLostUnlessSomethingExcusesIt(t *testing.T) {
	const whole = 10 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cut := func(sent, closed float64) Cut {
		return Cut{ID: "a", Router: "r", Sent: at(sent), Closed: at(closed), DeadlineAt: at(sent).Add(whole)}
	}
	passedOn := func(j *Checker) { j.Arrived(Arrival{ID: "a", Worker: "w", At: start}) }
	stopped := func(j *Checker) { passedOn(j); j.RouterTerminated("r", at(0)) }
	for name, each := range map[string]struct {
		play func(*Checker)
		cut  Cut
		lost bool
	}{
		"it crossed the closing":                     {func(*Checker) {}, cut(0, 0.1), false},
		"passed on":                                  {passedOn, cut(0, 0.1), true},
		"its time was over":                          {passedOn, cut(0, 10), false},
		"its router was killed":                      {func(j *Checker) { passedOn(j); j.RouterKilled("r", at(1)) }, cut(0, 1), false},
		"another router was killed":                  {func(j *Checker) { passedOn(j); j.RouterKilled("s", at(1)) }, cut(0, 1), true},
		"its worker broke off":                       {func(j *Checker) { passedOn(j); j.AnswerAborted("a") }, cut(0, 1), false},
		"its worker ended":                           {func(j *Checker) { passedOn(j); j.Ran(run("a", "w")); j.WorkerExited("w") }, cut(0, 1), false},
		"cut early in the grace":                     {stopped, cut(-6, 2), true},
		"came before SIGTERM, cut late in the grace": {stopped, cut(-1, 7), false},
		"came after SIGTERM, with time left":         {stopped, cut(2, 7), true},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(DefaultBounds)
			j.Sent(request("a"))
			each.play(j)
			j.ConnectionCut(each.cut)
			require.Equal(t, each.lost, len(j.Violations()) > 0, j.Report())
		})
	}
}
