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

// changeTimeout bounds each attempt of the operator to replace or read the configuration.
const changeTimeout = 8 * time.Second

// configChanges makes the operator's configuration changes, one at a time, and collects the rules that they break.
type configChanges struct {
	operator *operator.Operator
	controls func() []string

	mu           sync.Mutex
	current      operator.Config // the newest acknowledged configuration, or the one read back after an unclear answer
	variant      int
	acknowledged int
	unclear      int
	problems     []string
}

// addProblem records a broken rule. The caller holds c.mu or is the only user of c.
func (c *configChanges) addProblem(format string, values ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, values...))
}

// initialize sends the first configuration.
func (c *configChanges) initialize(ctx context.Context) error {
	config := baseConfig()
	status, err := c.operator.Replace(ctx, 0, config)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the first configuration was refused with status %d", status)
	}
	c.current = config
	return nil
}

// change sends the next configuration.
func (c *configChanges) change(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.variant++
	c.replace(ctx, newConfig(c.current.Version+int64(1+c.variant%3), c.variant))
}

// replace sends a configuration on top of the current one and reports whether it was acknowledged. If the answer is unclear
// or a refusal, it reads the configuration in force. The caller holds c.mu or is the only user of c.
func (c *configChanges) replace(ctx context.Context, config operator.Config) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := c.operator.Replace(ctx, c.current.Version, config)
	switch {
	case err != nil:
		c.unclear++
		c.readBack()
		return false
	case status != http.StatusOK:
		c.addProblem("CONFIG: version %d on top of %d was refused with %d", config.Version, c.current.Version, status)
		c.readBack()
		return false
	}
	c.acknowledged++
	c.current = config
	return true
}

// readBack sets current to the configuration in force, after a change without a clear answer. A version older than the
// current one means that an acknowledged change is lost.
func (c *configChanges) readBack() {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	config, err := c.operator.Read(ctx)
	if err != nil {
		c.addProblem("CONFIG: the configuration can't be read: %v", err)
		return
	}
	if config.Version < c.current.Version {
		c.addProblem("LOST: version %d is in force after %d was acknowledged", config.Version, c.current.Version)
	}
	c.current = config
}

// race has two operators send different configurations on top of the same version at once. At most one may be acknowledged.
func (c *configChanges) race(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var configs [2]operator.Config
	var statuses [2]int
	var errs [2]error
	var requests sync.WaitGroup
	for i := range configs {
		c.variant++
		configs[i] = newConfig(c.current.Version+1, c.variant)
		configs[i].Limits.MaxBodyBytes += int64(i)
		requests.Go(func() {
			statuses[i], errs[i] = operator.New(c.controls).Replace(ctx, c.current.Version, configs[i])
		})
	}
	requests.Wait()
	acknowledged := 0
	for i := range configs {
		if errs[i] == nil && statuses[i] == http.StatusOK {
			acknowledged++
			c.current = configs[i]
		}
	}
	switch {
	case acknowledged > 1:
		c.addProblem("CONFIG: two changes on top of one version were acknowledged")
	case acknowledged == 0 || errs[0] != nil || errs[1] != nil:
		c.unclear++
		c.readBack()
	default:
		c.acknowledged++
	}
}

// confirm checks that the newest acknowledged configuration is in force at the end of a run.
func (c *configChanges) confirm(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	config, err := c.operator.Read(ctx)
	switch {
	case err != nil:
		c.addProblem("CONFIG: the configuration can't be read at the end of the run: %v", err)
	case !reflect.DeepEqual(config, c.current):
		c.addProblem("LOST: version %d is in force at the end of the run, %d was acknowledged", config.Version, c.current.Version)
	}
}
