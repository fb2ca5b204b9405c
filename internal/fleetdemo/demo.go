// Package fleetdemo runs a demo fleet on loopback addresses: real controllers, agents and routers between stand-ins of clients,
// workers, operator and platform. It changes the configuration and injects failures, then prints a table of the request
// outcomes.
package fleetdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/operator"
)

// Options configures a demo.
type Options struct {
	Programs string // directory of the built programs; if empty, the directory of the running program
	Routers  int
	For      time.Duration // how long clients send requests
	Load     float64       // multiplies the request rates of the small site
	Log      bool          // print the programs' logs
}

// ErrRuleBroken is returned when the stand-ins of clients, workers or platform saw the fleet break a rule of package judge.
var ErrRuleBroken = errors.New("a rule was broken")

const (
	startTimeout     = 20 * time.Second
	progressInterval = 100 * time.Millisecond
	minDuration      = 2 * time.Second
	maxRouters       = 16
	manualIDPrefix   = "mine-" // prefix of the ids of requests that the user sends by hand
)

// demo is the state of a running demo.
type demo struct {
	Options
	out      io.Writer
	fleet    *fleet.Fleet
	workers  fleet.SmallSiteWorkers
	tallies  *client.Tallies
	bar      *progressbar.ProgressBar
	version  int64
	eventErr error // joined errors of the events that failed
}

// Run starts a fleet, loads it for options.For and stops it. It writes the events and a final table to out, and returns
// ErrRuleBroken if a rule was broken.
func Run(ctx context.Context, options Options, out io.Writer) error {
	if err := options.validate(); err != nil {
		return err
	}
	d := &demo{Options: options, out: out, tallies: client.NewTallies()}
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	d.printIntroduction()
	if err := d.runLoad(ctx); err != nil {
		return err
	}
	return d.report()
}

func (o *Options) validate() error {
	if o.For < minDuration || o.Load <= 0 || o.Routers < 1 || o.Routers > maxRouters {
		return fmt.Errorf("the demo needs a duration of at least %v, a load above 0 and 1 to %d routers", minDuration, maxRouters)
	}
	if o.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.Programs = filepath.Dir(self)
	}
	for _, program := range []string{"weldrouter", "weldagent", "weldcontroller"} {
		if _, err := os.Stat(filepath.Join(o.Programs, program)); err != nil {
			return fmt.Errorf("%s is not in %s: build all programs of ./cmd/... into this directory", program, o.Programs)
		}
	}
	return nil
}

// start starts the fleet, its workers and its first configuration, and waits until the routers are ready. On an error it stops
// what it started.
func (d *demo) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if d.fleet, err = fleet.Start(fleet.Options{Programs: d.Programs, Routers: d.Routers, Log: d.Log}); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			d.fleet.Close()
		}
	}()
	if d.workers, err = d.fleet.AddSmallSiteWorkers(); err != nil {
		return err
	}
	if err = d.configure(ctx, fleet.SmallSiteConfig(1)); err != nil {
		return err
	}
	return d.fleet.AwaitReady(ctx, d.Routers)
}

// configure sends a configuration that builds on the last accepted version. It fails unless the fleet accepts it.
func (d *demo) configure(ctx context.Context, config operator.Config) error {
	status, err := d.fleet.Operator.Replace(ctx, d.version, config)
	switch {
	case err != nil:
		return fmt.Errorf("sending configuration %d: %w", config.Version, err)
	case status != http.StatusOK:
		return fmt.Errorf("sending configuration %d: unexpected status %d", config.Version, status)
	}
	d.version = config.Version
	return nil
}

func (d *demo) printIntroduction() {
	d.printf("%d controllers, %d routers with agents and %d workers; clients come for %v.\n", len(d.fleet.Controllers), d.Routers,
		len(d.workers.Prefill)+len(d.workers.Decode)+len(d.workers.Plain)+len(d.workers.Other), d.For)
	d.fleet.Judge.AllowExternal(manualIDPrefix)
	d.printf("Look in meanwhile:\n\n  %s --control %s --internal %s status\n", filepath.Join(d.Programs, "weldfleet"),
		d.fleet.ControlAddresses()[1], d.fleet.InternalAddresses()[1])
	d.printf("  curl -i -d x -H 'Host: %s' -H 'Request-Id: "+manualIDPrefix+"1' -H 'Deadline-Ms: 2000' http://%s/%s/1\n\n", fleet.Host,
		d.fleet.FrontendAddresses()[0], fleet.KindPlainSafe)
}

// printf writes to the demo's output and ignores write errors.
func (d *demo) printf(format string, values ...any) { _, _ = fmt.Fprintf(d.out, format, values...) }

// runLoad runs the clients and the scheduled events for the duration of the demo.
func (d *demo) runLoad(ctx context.Context) error {
	loadContext, stopLoad := context.WithTimeout(ctx, d.For)
	defer stopLoad()
	var clients sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		group := &client.Group{Name: "from-" + zone, Zone: zone, Seed: uint64(i), SelectRouter: d.fleet.Entry.SelectRouter, Judge: d.fleet.Judge,
			Kinds: d.kinds(), OnResult: d.tallies.Add}
		clients.Go(func() { group.Run(loadContext) })
	}
	d.runEvents(ctx, loadContext)
	clients.Wait()
	return errors.Join(ctx.Err(), d.eventErr)
}

// kinds returns the small site's kinds of requests with their rates scaled by the demo's load.
func (d *demo) kinds() []*client.Kind {
	kinds := fleet.SmallSiteKinds()
	for _, kind := range kinds {
		kind.PerSecond *= d.Load
		if kind.Route.Service == fleet.ServicePlain { // events move its route to the other service and back
			kind.Services = []string{fleet.ServicePlain, fleet.ServiceOther}
		}
	}
	return kinds
}

// runEvents runs each event at its fraction of the demo's duration and shows the progress. ctx bounds the events; runEvents
// returns when loadContext ends.
func (d *demo) runEvents(ctx, loadContext context.Context) {
	if term.IsTerminal(int(os.Stderr.Fd())) {
		d.bar = progressbar.NewOptions64(d.For.Milliseconds(), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(30),
			progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())
	}
	started := time.Now()
	pending := d.events()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for loadContext.Err() == nil {
		select {
		case <-loadContext.Done():
		case <-ticker.C:
		}
		elapsed := time.Since(started)
		for len(pending) > 0 && elapsed.Seconds() >= pending[0].fraction*d.For.Seconds() {
			d.printEvent(elapsed, pending[0].description)
			d.eventErr = errors.Join(d.eventErr, pending[0].run(ctx))
			pending = pending[1:]
		}
		d.showProgress(min(elapsed, d.For))
	}
	if d.bar != nil {
		_ = d.bar.Finish()
	}
}

// printEvent prints an event on a line of its own, after removing the progress bar from the terminal.
func (d *demo) printEvent(elapsed time.Duration, description string) {
	if d.bar != nil {
		_ = d.bar.Clear()
	}
	d.printf("%5.1f s  %s\n", elapsed.Seconds(), description)
}

func (d *demo) showProgress(elapsed time.Duration) {
	if d.bar == nil {
		return
	}
	total := d.tallies.Total()
	d.bar.Describe(fmt.Sprintf("%d served, %d late, %d refused", total.Served, total.Late, total.Refused))
	_ = d.bar.Set64(elapsed.Milliseconds())
}

// event is a configuration change, failure or recovery that the demo runs at a fraction of its duration.
type event struct {
	fraction    float64
	description string
	run         func(ctx context.Context) error
}

func (d *demo) events() []event {
	return []event{
		{0.15, "the configuration changes: cards and notices move to another service", func(ctx context.Context) error {
			moved := fleet.SmallSiteConfig(4)
			for i := range moved.Routes {
				if moved.Routes[i].Service == fleet.ServicePlain {
					moved.Routes[i].Service = fleet.ServiceOther
				}
			}
			return d.configure(ctx, moved)
		}},
		{0.35, "a controller is killed", func(context.Context) error { d.fleet.Controllers[0].Kill(); return nil }},
		{0.45, "with a controller down, the configuration moves back", func(ctx context.Context) error {
			return d.configure(ctx, fleet.SmallSiteConfig(5))
		}},
		{0.55, "a worker that makes tokens drains",
			func(context.Context) error { d.fleet.DrainWorker(d.workers.Decode[1]); return nil }},
		{0.70, "the controller is back", func(context.Context) error { return d.fleet.Controllers[0].Start() }},
		{0.75, "a worker of a plain service crashes", func(context.Context) error { d.workers.Plain[0].Crash(); return nil }},
		{0.90, "the platform no longer lists it", func(context.Context) error {
			d.fleet.Platform.Remove(d.workers.Plain[0].ID())
			return nil
		}},
	}
}
