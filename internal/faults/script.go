package faults

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/hcl/v2"

	"weldscale/internal/config"
)

// This file reads and runs scripts, which say when each fault affects which processes. They use the words of the rehearsal
// scripts.

// Script is a list of troubles: faults with a start, an end and targets.
type Script struct{ Troubles []Trouble }

// Trouble is one fault of a script. Its times count from the start of the script.
type Trouble struct {
	Kind      string
	From, To  time.Duration
	Fraction  float64  // fraction of all processes, drawn with the seed, if Targets is empty
	Targets   []string // names of the processes affected
	Peers     []string // limits a link fault to links with these processes; empty: with all
	Direction string   // "out", "in" or "both", as seen from the targets
	Fault     Fault
	Every     time.Duration // interval between the restarts of a rolling restart
	KeepDir   bool          // whether a killed process keeps its directory
}

// troubleSettings maps each kind of trouble to its settings, besides the times and the targets that all kinds take.
var troubleSettings = map[string][]string{
	"cut":     {"toward", "way"},
	"silence": {"toward", "way"},
	"lossy":   {"toward", "way", "loss", "double", "reorder", "hold", "delay", "jitter"},
	"split":   {},
	"stall":   {},
	"kill":    {"keep"},
	"rolling": {"every"},
}

// scriptBlocks is the HCL structure of a script.
type scriptBlocks struct {
	Troubles []*struct {
		Name string   `hcl:"name,label"`
		Body hcl.Body `hcl:",remain"`
	} `hcl:"trouble,block"`
}

const minute = 60e6 // in microseconds, the unit of config.Span

// ReadScript reads a script. Its error has one line, with the position, for each mistake in the file.
func ReadScript(path string) (*Script, error) {
	var blocks scriptBlocks
	r, err := config.Open(path, &blocks)
	if err != nil {
		return nil, err
	}
	if !r.Valid() {
		return nil, r.Err()
	}
	script := &Script{}
	for _, b := range blocks.Troubles {
		t := Trouble{Kind: b.Name, Fraction: 0.2, Direction: "both", KeepDir: true}
		settings, ok := troubleSettings[b.Name]
		if !ok {
			r.AddError(b.Body, "no trouble %q; allowed: %s", b.Name, strings.Join(slices.Sorted(maps.Keys(troubleSettings)), ", "))
			continue
		}
		var from, hold, delay, jitter float64
		length, every := 6e6, 2e6
		who, toward, keep := "", "", ""
		set := r.Fields(b.Body, config.Field{Name: "from", Unit: config.Span, Min: 0, Max: 60 * minute, To: &from},
			config.Field{Name: "for", Unit: config.Span, Min: 1e3, Max: 60 * minute, To: &length},
			config.Field{Name: "part", Unit: config.Number, Min: 0.0001, Max: 1, To: &t.Fraction},
			config.Field{Name: "who", Unit: config.Word, To: &who}, config.Field{Name: "toward", Unit: config.Word, To: &toward},
			config.Field{Name: "way", Unit: config.Word, To: &t.Direction}, config.Field{Name: "keep", Unit: config.Word, To: &keep},
			config.Field{Name: "loss", Unit: config.Number, Min: 0, Max: 1, To: &t.Fault.Loss},
			config.Field{Name: "double", Unit: config.Number, Min: 0, Max: 1, To: &t.Fault.Duplicate},
			config.Field{Name: "reorder", Unit: config.Number, Min: 0, Max: 1, To: &t.Fault.Reorder},
			config.Field{Name: "hold", Unit: config.Span, Min: 0, Max: minute, To: &hold},
			config.Field{Name: "delay", Unit: config.Span, Min: 0, Max: minute, To: &delay},
			config.Field{Name: "jitter", Unit: config.Span, Min: 0, Max: minute, To: &jitter},
			config.Field{Name: "every", Unit: config.Span, Min: 1e4, Max: 10 * minute, To: &every})
		for _, name := range slices.Sorted(maps.Keys(set)) {
			if !slices.Contains([]string{"from", "for", "part", "who"}, name) && !slices.Contains(settings, name) {
				r.AddError(b.Body, "trouble %q takes no %s; it takes from, for, part, who%s", b.Name, name, strings.Join(append([]string{""}, settings...), ", "))
			}
		}
		switch {
		case t.Direction != "both" && t.Direction != "out" && t.Direction != "in":
			r.AddError(b.Body, "trouble %q: way: allowed is \"out\", \"in\" or \"both\"", b.Name)
		case keep != "" && keep != "yes" && keep != "no":
			r.AddError(b.Body, "trouble %q: keep: allowed is \"yes\" or \"no\"", b.Name)
		case set["part"] && who != "":
			r.AddError(b.Body, "trouble %q: part and who: allowed is one of them", b.Name)
		}
		span := func(us float64) time.Duration { return time.Duration(us) * time.Microsecond }
		t.From, t.To, t.Every, t.KeepDir = span(from), span(from+length), span(every), keep != "no"
		t.Fault.ReorderDelay, t.Fault.Delay, t.Fault.Jitter = span(cmp.Or(hold, 50e3)), span(delay), span(jitter)
		t.Targets, t.Peers = strings.Fields(who), strings.Fields(toward)
		t.Fault.Cut, t.Fault.Blackhole = b.Name == "cut", b.Name == "silence" || b.Name == "split"
		script.Troubles = append(script.Troubles, t)
	}
	return script, r.Err()
}

// End returns the time at which the last trouble ends.
func (s *Script) End() (end time.Duration) {
	for _, t := range s.Troubles {
		end = max(end, t.To)
	}
	return end
}

// SelectTargets returns, for each trouble, the names of the processes it affects. The result depends only on the seed and
// the set of names, not on their order.
func (s *Script) SelectTargets(seed uint64, all []string) ([][]string, error) {
	var out [][]string
	sorted := slices.Sorted(slices.Values(all))
	for i, t := range s.Troubles {
		for _, name := range append(slices.Clone(t.Targets), t.Peers...) {
			if !slices.Contains(sorted, name) {
				return nil, fmt.Errorf("trouble %d, %q: no process is named %q", i+1, t.Kind, name)
			}
		}
		selected := t.Targets
		if len(selected) == 0 {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			shuffled := slices.Clone(sorted)
			rng.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
			selected = shuffled[:max(1, int(t.Fraction*float64(len(shuffled))+0.5))]
			slices.Sort(selected)
		}
		out = append(out, selected)
	}
	return out, nil
}

// Play runs the script on processes and links, and returns when the last trouble is over or ctx is done. It undoes every
// fault before it returns: link faults are removed, stalled processes continue and killed ones are restarted. It returns
// the first error.
func (s *Script) Play(ctx context.Context, seed uint64, all []*Process, links *Links, log *Log) error {
	byName := map[string]*Process{}
	var names []string
	for _, p := range all {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	targets, err := s.SelectTargets(seed, names)
	if err != nil {
		return err
	}
	var troubles sync.WaitGroup
	var mu sync.Mutex
	for i, t := range s.Troubles {
		troubles.Go(func() {
			if !sleep(t.From, ctx.Done()) {
				return
			}
			log.Add("script", "trouble", float64(i+1), t.Kind+" "+strings.Join(targets[i], " "))
			if playErr := t.play(ctx, targets[i], byName, links, log); playErr != nil {
				mu.Lock()
				err = cmp.Or(err, playErr)
				mu.Unlock()
			}
			log.Add("script", "over", float64(i+1), t.Kind)
		})
	}
	troubles.Wait()
	return err
}

// play runs one trouble, from its start to its end, on the named targets.
func (t *Trouble) play(ctx context.Context, targets []string, byName map[string]*Process, links *Links, log *Log) (err error) {
	length := t.To - t.From
	each := func(f func(*Process) error) {
		for _, name := range targets {
			err = cmp.Or(err, f(byName[name]))
		}
	}
	restart := func(p *Process) error { return p.Start(log) }
	switch t.Kind {
	case "stall":
		each(func(p *Process) error { return p.Signal(syscall.SIGSTOP) })
		sleep(length, ctx.Done())
		each(func(p *Process) error { return p.Signal(syscall.SIGCONT) })
	case "kill":
		each(func(p *Process) error {
			p.Kill()
			if !t.KeepDir {
				return p.RemoveDir()
			}
			return nil
		})
		sleep(length, ctx.Done())
		each(restart)
	case "rolling":
		for _, name := range targets {
			process := byName[name]
			process.Stop(10 * time.Second)
			err = cmp.Or(err, restart(process))
			if !sleep(t.Every, ctx.Done()) {
				break
			}
		}
	default:
		targeted := map[string]bool{}
		for _, name := range targets {
			targeted[name] = true
		}
		defer links.Inject(t.Fault, func(from, to string) bool { return t.affects(targeted, from, to) })()
		sleep(length, ctx.Done())
	}
	return err
}

// affects reports whether the trouble affects a direction of a link. A split affects the links between targets and others.
func (t *Trouble) affects(targeted map[string]bool, from, to string) bool {
	if t.Kind == "split" {
		return targeted[from] != targeted[to]
	}
	isPeer := func(name string) bool { return len(t.Peers) == 0 || slices.Contains(t.Peers, name) }
	return t.Direction != "in" && targeted[from] && isPeer(to) || t.Direction != "out" && targeted[to] && isPeer(from)
}
