package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func namesOf(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("frontend-%d", i))
	}
	return names
}

func TestEveryMemberIsMonitoredByOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := namesOf(rapid.IntRange(2, 80).Draw(t, "fleet"))
		name := rapid.SampledFrom(live).Draw(t, "member")
		monitors := Monitors(name, live, DefaultMonitors)
		if len(monitors) != min(DefaultMonitors, len(live)-1) {
			t.Fatalf("got %d monitors", len(monitors))
		}
		distinct := map[string]bool{}
		for _, monitor := range monitors {
			if monitor == name || !slices.Contains(live, monitor) {
				t.Fatalf("%s monitors %s", monitor, name)
			}
			distinct[monitor] = true
		}
		if len(distinct) != len(monitors) {
			t.Fatal("a monitor is listed twice")
		}
	})
}

func TestMonitorsStayWhenAnotherMemberLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := namesOf(rapid.IntRange(5, 40).Draw(t, "fleet"))
		name := live[0]
		departed := rapid.SampledFrom(live[1:]).Draw(t, "departed")
		before := Monitors(name, live, DefaultMonitors)
		after := Monitors(name, slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == departed }), DefaultMonitors)
		for _, monitor := range before {
			if monitor != departed && !slices.Contains(after, monitor) {
				t.Fatalf("%s no longer monitors %s", monitor, name)
			}
		}
	})
}

func TestIsMonitorAgreesWithMonitors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := namesOf(rapid.IntRange(2, 40).Draw(t, "fleet"))
		for _, name := range live {
			monitors := Monitors(name, live, DefaultMonitors)
			for _, other := range live {
				is := other != name && isMonitor(other, name, live, DefaultMonitors)
				if is != slices.Contains(monitors, other) {
					t.Fatalf("isMonitor of %s for %s: %v, unlike Monitors", other, name, is)
				}
			}
		}
	})
}
