// Package hollow measures what the fleet's control plane costs as the number of members grows. It runs many hollow members in
// one process, each with the real agent and the real router of a machine but without clients. The controllers are real and run
// in separate processes; a stand-in plays the platform, and its workers exist only in its list. Configurations, workers and
// members change faster than in production, so that results are available within a minute. The cost of a change is what a phase
// with changes uses beyond an idle phase.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Options configures a run. All fields must be set.
type Options struct {
	Programs     string // directory of the compiled programs
	Schedulers   []int  // one round for each
	Controllers  int
	Samples      int // schedulers that run as separate processes, to measure the cost of one process
	Full         int // members that decode messages and derive their routing state, as routers do
	Workers      int
	Models       int
	Tenants      int           // one route each
	Phase        time.Duration // duration of each phase
	ConfigEvery  time.Duration // interval between configurations
	ListEvery    time.Duration // interval between changes of the worker list
	RestartEvery time.Duration // interval between restarts of members
	Progress     io.Writer
}

// DefaultOptions returns the size of the target deployment, with changes far more frequent than in production.
func DefaultOptions() Options {
	return Options{
		Schedulers: []int{50, 100, 200, 410}, Controllers: 9, Samples: 3, Full: 20, Workers: 950, Models: 35, Tenants: 1400,
		Phase: 8 * time.Second, ConfigEvery: 2 * time.Second, ListEvery: time.Second, RestartEvery: 250 * time.Millisecond,
		Progress: io.Discard,
	}
}

const (
	minSchedulers  = 5 // including the samples
	maxSchedulers  = 1000
	maxControllers = 9
	// roundTimeout aborts a round that hangs.
	roundTimeout = 3 * time.Minute
)

var errInvalidOptions = errors.New("options")

func (o Options) check() error {
	for _, schedulers := range o.Schedulers {
		if least := max(minSchedulers, 2*o.Samples); schedulers < least || schedulers > maxSchedulers {
			return fmt.Errorf("%w: %d schedulers; must be %d to %d", errInvalidOptions, schedulers, least, maxSchedulers)
		}
	}
	switch {
	case len(o.Schedulers) == 0:
		return fmt.Errorf("%w: no scheduler counts", errInvalidOptions)
	case o.Controllers < 3 || o.Controllers > maxControllers:
		return fmt.Errorf("%w: %d controllers; must be 3 to %d", errInvalidOptions, o.Controllers, maxControllers)
	case o.Samples < 1 || o.Full < 1 || o.Workers < 2 || o.Models < 1 || o.Tenants < 1:
		return fmt.Errorf("%w: samples, full members, models and tenants must be above 0, workers above 1", errInvalidOptions)
	case o.Phase <= 0 || o.ConfigEvery <= 0 || o.ListEvery <= 0 || o.RestartEvery <= 0:
		return fmt.Errorf("%w: durations and intervals must be above 0", errInvalidOptions)
	}
	return nil
}

// Results holds the measurements of a run.
type Results struct {
	Options Options `json:"-"`
	Began   time.Time
	Load    string // load averages of the machine at the start; other processes may have used it too
	Rounds  []Round
}

// Run runs one round for each scheduler count, in sequence. If a round fails, the results hold the rounds before it.
func Run(ctx context.Context, options Options) (*Results, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	results := &Results{Options: options, Began: time.Now(), Load: loadAverages()}
	for _, schedulers := range options.Schedulers {
		round, err := runRound(ctx, options, schedulers)
		if err != nil {
			return results, fmt.Errorf("%d schedulers: %w", schedulers, err)
		}
		results.Rounds = append(results.Rounds, *round)
	}
	return results, nil
}
