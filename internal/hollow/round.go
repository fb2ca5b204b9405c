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

// Round holds the measurements at one number of schedulers.
type Round struct {
	Schedulers  int
	Controllers int
	Start       DurationStats // from the simultaneous start of all members until each had the configuration and the list
	Phases      []Phase
	Config      DurationStats // from the acknowledgement until a router applies it, over all routers and changes
	List        DurationStats // from the platform's entry until a router has it
	Missed      int           // changes that a router running all the time never received
	Recoveries  []Recovery
	ConfigBytes int // size of a configuration as the operator sends it
}

// Phase names.
const (
	phaseIdle    = "idle"
	phaseConfigs = "configurations"
	phaseLists   = "worker lists"
	phaseAll     = "all, with restarts"
)

// Phase holds the changes made and the resources used during one kind of load.
type Phase struct {
	Name       string
	Span       time.Duration
	Configs    int // changes of each kind
	Lists      int
	Restarts   int
	Controller Cost // mean of the controllers without the reader
	Reader     Cost // the controller that reads the platform's list
	Agent      Cost // mean of the sample processes
	Router     Cost
	Member     Cost    // harness usage per member; bytes are those between agents and controllers
	Calls      float64 // requests for the platform's list per second
	Limited    float64 // requests rejected by the platform's rate limit, per second
	RolesTaken int     // roles that controllers took over
}

// Cost is the resource usage of one process.
type Cost struct {
	CPU     float64 // fraction of a core
	In, Out float64 // bytes per second, including file I/O
	Memory  float64 // bytes
}

// round is the state of a running round.
type round struct {
	options       Options
	deployment    deployment
	fleet         *fleet.Fleet
	members       []*member
	tracker       *changeTracker
	agentTraffic  traffic
	configVersion int64 // of the configuration sent last
	listChanges   int   // changes made to the worker list so far
	memberStarts  int   // members started so far, restarts included
	result        Round
}

const (
	// readyTimeout limits the time until all members have their first snapshot.
	readyTimeout = 40 * time.Second
	// settleSpan lets start-up work finish before the first phase.
	settleSpan = 3 * time.Second
	// lastChangeSpan limits how long a phase waits for its last changes to reach every member.
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

// startFleet starts the controllers, the sample schedulers and the platform, fills the worker list and sends the first
// configuration.
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

// zones are the zones of the target deployment.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

// changeConfig sends the next configuration and tracks it.
func (r *round) changeConfig(ctx context.Context) error {
	base := r.configVersion
	r.configVersion++
	body, err := json.Marshal(r.deployment.config(r.configVersion))
	if err != nil {
		return err
	}
	r.result.ConfigBytes = len(body)
	configChange := r.tracker.track(true, hasConfig(r.configVersion))
	status, err := r.operator().ReplaceRaw(ctx, base, body)
	r.tracker.setStart(configChange, time.Now())
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("operator API answered configuration %d with status %d", r.configVersion, status)
	}
	return nil
}

func (r *round) operator() *operator.Operator { return r.fleet.Operator }

// changeList changes one worker in the platform's list and tracks the change.
func (r *round) changeList() *change {
	r.listChanges++
	worker := r.deployment.changedWorker(r.listChanges)
	r.fleet.Platform.Put(worker)
	return r.tracker.track(false, hasInstance(worker.ID, worker.Version))
}

// startMembers starts all members at once and waits until all have the configuration and the list.
func (r *round) startMembers(ctx context.Context) error {
	r.tracker.finish() // drops the first configuration, which was sent before any member started
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
		return fmt.Errorf("waiting for the first snapshot of all members: %w", err)
	}
	r.result.Start = newDurationStats(took)
	r.reportProgress("all started, %v at worst", r.result.Start.Worst.Round(time.Millisecond))
	return sleep(ctx, settleSpan)
}

// addMember starts the i-th member and replaces its predecessor, if any.
func (r *round) addMember(i int) error {
	r.memberStarts++
	nodeSettings := memberSettings(i, r.memberStarts, r.fleet.Subnet(), zones, r.fleet.ControlAddresses()[:3])
	started, err := startMember(context.Background(), nodeSettings, i >= r.options.Full, &r.agentTraffic, r.tracker)
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

// waitUntil polls condition until it holds. It returns an error if that takes longer than span or ctx is done.
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

// loadAverages returns the load averages of the machine, or "unknown".
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return string(text[:len(text)-1])
}
