// Package hollow measures what the control of a fleet costs as it grows. It runs many hollow members in one process, each the
// real agent and the real router of a machine without any client, before real controllers in processes of their own and a
// stand-in of the platform whose workers exist only on its list. Configurations, workers and members change faster than in
// service, so that figures come within a minute; each change's cost is what a phase with changes uses beyond an idle one.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Options describe a run. All must be set.
type Options struct {
	Programs     string // directory of the built programs
	Schedulers   []int  // one round for each
	Controllers  int
	Samples      int // schedulers that run as processes of their own, for what one process uses
	Full         int // members that decode and derive what they are given, as routers do
	Workers      int
	Models       int
	Tenants      int           // each has a route
	Phase        time.Duration // span of each phase
	ConfigEvery  time.Duration // between configurations
	ListEvery    time.Duration // between changes of the list of workers
	RestartEvery time.Duration // between restarts of members
	Progress     io.Writer
}

// DefaultOptions are those of the target, with changes far faster than in service.
func DefaultOptions() Options {
	return Options{
		Schedulers: []int{50, 100, 200, 410}, Controllers: 9, Samples: 3, Full: 20, Workers: 950, Models: 35, Tenants: 1400,
		Phase: 8 * time.Second, ConfigEvery: 2 * time.Second, ListEvery: time.Second, RestartEvery: 250 * time.Millisecond,
		Progress: io.Discard,
	}
}

const (
	minSchedulers  = 5 // of which the samples are a part
	maxSchedulers  = 1000
	maxControllers = 9
	// roundTimeout ends a round that hangs.
	roundTimeout = 3 * time.Minute
)

var errInvalidOptions = errors.New("options")

func (o Options) check() error {
	for _, schedulers := range o.Schedulers {
		if least := max(minSchedulers, 2*o.Samples); schedulers < least || schedulers > maxSchedulers {
			return fmt.Errorf("%w: %d schedulers; %d to %d are possible", errInvalidOptions, schedulers, least, maxSchedulers)
		}
	}
	switch {
	case len(o.Schedulers) == 0:
		return fmt.Errorf("%w: no number of schedulers", errInvalidOptions)
	case o.Controllers < 3 || o.Controllers > maxControllers:
		return fmt.Errorf("%w: %d controllers; 3 to %d are possible", errInvalidOptions, o.Controllers, maxControllers)
	case o.Samples < 1 || o.Full < 1 || o.Workers < 2 || o.Models < 1 || o.Tenants < 1:
		return fmt.Errorf("%w: samples, full members, models and tenants must be above 0, workers above 1", errInvalidOptions)
	case o.Phase <= 0 || o.ConfigEvery <= 0 || o.ListEvery <= 0 || o.RestartEvery <= 0:
		return fmt.Errorf("%w: spans must be above 0", errInvalidOptions)
	}
	return nil
}

// Results are what a run has measured.
type Results struct {
	Options Options `json:"-"`
	Began   time.Time
	Load    string // the machine's load averages at the start: others may have used it as well
	Rounds  []Round
}

// Run plays the rounds one after the other.
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
