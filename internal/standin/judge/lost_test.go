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
		return Cut{ID: "a", Router: "r", Sent: at(sent), Closed: at(closed), GaveUpAt: at(sent).Add(whole)}
	}
	passedOn := func(j *Judge) { j.Arrived(Arrival{ID: "a", Worker: "w", At: start}) }
	stopped := func(j *Judge) { passedOn(j); j.Stopped("r", at(0)) }
	for name, each := range map[string]struct {
		play func(*Judge)
		cut  Cut
		lost bool
	}{
		"it crossed the closing":                     {func(*Judge) {}, cut(0, 0.1), false},
		"passed on":                                  {passedOn, cut(0, 0.1), true},
		"its time was over":                          {passedOn, cut(0, 10), false},
		"its router was killed":                      {func(j *Judge) { passedOn(j); j.Killed("r", at(1)) }, cut(0, 1), false},
		"another router was killed":                  {func(j *Judge) { passedOn(j); j.Killed("s", at(1)) }, cut(0, 1), true},
		"its worker broke off":                       {func(j *Judge) { passedOn(j); j.BrokeOff("a") }, cut(0, 1), false},
		"its worker ended":                           {func(j *Judge) { passedOn(j); j.Ran(run("a", "w")); j.Ended("w") }, cut(0, 1), false},
		"cut early in the grace":                     {stopped, cut(-6, 2), true},
		"came before SIGTERM, cut late in the grace": {stopped, cut(-1, 7), false},
		"came after SIGTERM, with time left":         {stopped, cut(2, 7), true},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(DefaultBounds)
			j.Sent(request("a"))
			each.play(j)
			j.WasCut(each.cut)
			require.Equal(t, each.lost, len(j.Violations()) > 0, j.Report())
		})
	}
}
