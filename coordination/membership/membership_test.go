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
		living := namesOf(rapid.IntRange(2, 80).Draw(t, "fleet"))
		name := rapid.SampledFrom(living).Draw(t, "member")
		monitors := Monitors(name, living, DefaultMonitors)
		if len(monitors) != min(DefaultMonitors, len(living)-1) {
			t.Fatalf("%d monitors", len(monitors))
		}
		distinct := map[string]bool{}
		for _, monitor := range monitors {
			if monitor == name || !slices.Contains(living, monitor) {
				t.Fatalf("%s monitors %s", monitor, name)
			}
			distinct[monitor] = true
		}
		if len(distinct) != len(monitors) {
			t.Fatal("one monitor twice")
		}
	})
}

func TestMonitorsStayWhenAnotherGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		living := namesOf(rapid.IntRange(5, 40).Draw(t, "fleet"))
		name := living[0]
		gone := rapid.SampledFrom(living[1:]).Draw(t, "gone")
		before := Monitors(name, living, DefaultMonitors)
		after := Monitors(name, slices.DeleteFunc(slices.Clone(living), func(n string) bool { return n == gone }), DefaultMonitors)
		for _, monitor := range before {
			if monitor != gone && !slices.Contains(after, monitor) {
				t.Fatalf("%s no longer monitors %s", monitor, name)
			}
		}
	})
}

func TestIsMonitorAgreesWithMonitors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		living := namesOf(rapid.IntRange(2, 40).Draw(t, "fleet"))
		for _, name := range living {
			monitors := Monitors(name, living, DefaultMonitors)
			for _, other := range living {
				is := other != name && isMonitor(other, name, living, DefaultMonitors)
				if is != slices.Contains(monitors, other) {
					t.Fatalf("%s of %s: %v", other, name, is)
				}
			}
		}
	})
}
