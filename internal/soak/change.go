package soak

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"time"

	"weldscale/internal/standin/operator"
)

// changeTimeout is how long the operator tries to have a configuration taken.
const changeTimeout = 8 * time.Second

// operations are what the operator does, one after the other.
type operations struct {
	operator *operator.Operator
	controls func() []string

	mu       sync.Mutex
	current  operator.Config // the newest that was acknowledged
	variant  int
	acked    int
	unclear  int
	problems []string
}

func (o *operations) problem(format string, values ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, values...))
}

// first has the first configuration taken.
func (o *operations) first(ctx context.Context) error {
	config := baseConfig()
	status, err := o.operator.Replace(ctx, 0, config)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the first configuration: status %d", status)
	}
	o.current = config
	return nil
}

// change has the next configuration taken.
func (o *operations) change(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.variant++
	o.take(ctx, configOf(o.current.Version+int64(1+o.variant%3), o.variant))
}

// take has a configuration taken, and reads what is in force if no clear answer comes.
func (o *operations) take(ctx context.Context, config operator.Config) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := o.operator.Replace(ctx, o.current.Version, config)
	switch {
	case err != nil:
		o.unclear++
		o.readBack()
		return false
	case status != http.StatusOK:
		o.problem("CONFIG: version %d on top of %d was refused with %d", config.Version, o.current.Version, status)
		o.readBack()
		return false
	}
	o.acked++
	o.current = config
	return true
}

// readBack takes what is in force for current, after a change without a clear answer.
func (o *operations) readBack() {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	config, err := o.operator.Read(ctx)
	if err != nil {
		o.problem("CONFIG: the configuration can't be read: %v", err)
		return
	}
	if config.Version < o.current.Version {
		o.problem("LOST: version %d is in force after %d was acknowledged", config.Version, o.current.Version)
	}
	o.current = config
}

// race has two operators send different configurations on top of the same version.
func (o *operations) race(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var configs [2]operator.Config
	var statuses [2]int
	var failures [2]error
	var both sync.WaitGroup
	for i := range configs {
		o.variant++
		configs[i] = configOf(o.current.Version+1, o.variant)
		configs[i].Limits.MaxBodyBytes += int64(i)
		both.Go(func() {
			statuses[i], failures[i] = operator.New(o.controls).Replace(ctx, o.current.Version, configs[i])
		})
	}
	both.Wait()
	won := 0
	for i := range configs {
		if failures[i] == nil && statuses[i] == http.StatusOK {
			won++
			o.current = configs[i]
		}
	}
	switch {
	case won > 1:
		o.problem("CONFIG: two changes on top of one version were acknowledged")
	case won == 0 || failures[0] != nil || failures[1] != nil:
		o.unclear++
		o.readBack()
	default:
		o.acked++
	}
}

// confirm checks that the newest acknowledged configuration is in force.
func (o *operations) confirm(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	config, err := o.operator.Read(ctx)
	switch {
	case err != nil:
		o.problem("CONFIG: the configuration can't be read in the end: %v", err)
	case !reflect.DeepEqual(config, o.current):
		o.problem("LOST: version %d is in force in the end, %d was acknowledged", config.Version, o.current.Version)
	}
}
