package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/operator"
)

// Round is what was measured at one number of schedulers.
type Round struct {
	Schedulers  int
	Controllers int
	Start       DurationStats // from the start of all members at once until each had the configuration and the list
	Phases      []Phase
	Config      DurationStats // from the acknowledgement until it is in force at a router, over all routers and changes
	List        DurationStats // from the platform's entry until a router has it
	Missed      int           // changes that a router that was there all the time never had
	Recoveries  []Recovery
	ConfigBytes int // of a configuration as the operator sends it
}

// Phase names.
const (
	phaseIdle    = "idle"
	phaseConfigs = "configurations"
	phaseLists   = "worker lists"
	phaseAll     = "all, with restarts"
)

// Phase is what a span of one kind of load used.
type Phase struct {
	Name       string
	Span       time.Duration
	Configs    int // changes of each kind
	Lists      int
	Restarts   int
	Controller Cost // mean of the controllers but the reader
	Reader     Cost // the controller that reads the platform's list
	Agent      Cost // mean of the sample processes
	Router     Cost
	Member     Cost    // the harness divided by its members; bytes are those between agent and controller
	Calls      float64 // of the platform's list, a second
	Limited    float64 // of them refused as too many, a second
	RolesTaken int     // roles that controllers took
}

// Cost is what one process used.
type Cost struct {
	CPU     float64 // share of a core
	In, Out float64 // bytes a second, with files
	Memory  float64 // bytes
}

// round is one under way.
type round struct {
	options       Options
	deployment    deployment
	fleet         *fleet.Fleet
	members       []*member
	tracker       *changeTracker
	totals        traffic
	configVersion int64 // of the configuration
	listChanges   int   // changes of the list so far
	memberStarts  int   // members started so far
	result        Round
}

const (
	// readyTimeout bounds the start of the members.
	readyTimeout = 40 * time.Second
	// settleSpan lets start-up work end before the first phase.
	settleSpan = 3 * time.Second
	// lastChangeSpan is how long the last changes of a phase may take to reach everyone.
	lastChangeSpan = 5 * time.Second
)

func runRound(ctx context.Context, options Options, schedulers int) (*Round, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	r := &round{options: options, tracker: newChangeTracker(), result: Round{Schedulers: schedulers, Controllers: options.Controllers}}
	defer r.close()
	steps := []func(context.Context) error{r.startFleet, r.startMembers, r.runPhases, r.injectFailures}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return &r.result, nil
}

func (r *round) close() {
	for _, m := range r.members {
		m.stop()
	}
	for _, m := range r.members {
		m.running.Wait()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}

func (r *round) reportProgress(format string, values ...any) {
	_, _ = fmt.Fprintf(r.options.Progress, "%d schedulers: %s\n", r.result.Schedulers, fmt.Sprintf(format, values...))
}

// startFleet starts the controllers, the samples and the platform with its list, and sends the first configuration.
func (r *round) startFleet(ctx context.Context) error {
	running, err := fleet.Start(fleet.Options{Programs: r.options.Programs, Zones: zones, Controllers: r.options.Controllers,
		Routers: r.options.Samples})
	if err != nil {
		return err
	}
	r.fleet = running
	r.deployment = deployment{models: r.options.Models, tenants: r.options.Tenants, workers: r.options.Workers, zones: zones,
		subnet: running.Subnet()}
	running.Platform.Put(r.deployment.list()...)
	return r.changeConfig(ctx)
}

// zones are those of the target.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

// changeConfig sends the next configuration and has the book await it.
func (r *round) changeConfig(ctx context.Context) error {
	base := r.configVersion
	r.configVersion++
	body, err := json.Marshal(r.deployment.config(r.configVersion))
	if err != nil {
		return err
	}
	r.result.ConfigBytes = len(body)
	expected := r.tracker.track(true, hasConfig(r.configVersion))
	status, err := r.operator().ReplaceRaw(ctx, base, body)
	r.tracker.setStart(expected, time.Now())
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d was answered %d", r.configVersion, status)
	}
	return nil
}

func (r *round) operator() *operator.Operator { return r.fleet.Operator }

// changeList changes one worker on the platform's list and has the book await it.
func (r *round) changeList() *change {
	r.listChanges++
	worker := r.deployment.changedWorker(r.listChanges)
	r.fleet.Platform.Put(worker)
	return r.tracker.track(false, hasInstance(worker.ID, worker.Version))
}

// startMembers starts all members at once and waits until all have the configuration and the list.
func (r *round) startMembers(ctx context.Context) error {
	r.tracker.finish() // the first configuration, which no member was there to see
	count := r.result.Schedulers - r.options.Samples
	for range count {
		if err := r.addMember(len(r.members)); err != nil {
			return err
		}
	}
	var took []time.Duration
	err := waitUntil(ctx, readyTimeout, func() bool {
		took = took[:0]
		for _, m := range r.members {
			snapshot := m.latest.Load()
			if snapshot == nil || snapshot.Version.ConfigRevision == 0 || snapshot.Version.Instances == (fleetwire.ListVersion{}) {
				return false
			}
			if !m.light && len(snapshot.Instances) != r.options.Workers {
				return false
			}
			took = append(took, snapshot.At.Sub(m.started))
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("the members did not get their first state: %w", err)
	}
	r.result.Start = newDurationStats(took)
	r.reportProgress("all started, %v at worst", r.result.Start.Worst.Round(time.Millisecond))
	return sleep(ctx, settleSpan)
}

// addMember starts the i-th member, in the place of the one before it if there was one.
func (r *round) addMember(i int) error {
	r.memberStarts++
	nodeSettings := memberSettings(i, r.memberStarts, r.fleet.Subnet(), zones, r.fleet.Controls()[:3])
	started, err := startMember(context.Background(), nodeSettings, i >= r.options.Full, &r.totals, r.tracker)
	if err != nil {
		return err
	}
	if i == len(r.members) {
		r.members = append(r.members, started)
	} else {
		r.members[i] = started
	}
	return nil
}

func (r *round) restartMember(i int) error {
	i %= len(r.members)
	r.members[i].shutDown(r.tracker)
	return r.addMember(i)
}

// within checks a condition often until it holds.
func waitUntil(ctx context.Context, span time.Duration, condition func() bool) error {
	const every = 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	for !condition() {
		if err := sleep(ctx, every); err != nil {
			return err
		}
	}
	return nil
}

// loadAverages returns those of the machine.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return string(text[:len(text)-1])
}
