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

// This file owns the scripts: which faults come when and to whom, in the words of the rehearsals, and their playing.

// Script is a list of troubles.
type Script struct{ Troubles []Trouble }

// Trouble is one of a script. Times are since the script began.
type Trouble struct {
	Kind      string
	From, To  time.Duration
	Fraction  float64  // of all, drawn by the seed; where Who names nobody
	Targets   []string // by name
	Peers     []string // only links to these; none: to all others
	Direction string   // out, in or both
	Fault     Fault
	Every     time.Duration // between two, of a rolling restart
	KeepDir   bool          // its directory, over a kill
}

// kinds are the troubles with what each takes beside its time and whom it meets.
var kinds = map[string][]string{
	"cut":     {"toward", "way"},
	"silence": {"toward", "way"},
	"lossy":   {"toward", "way", "loss", "double", "reorder", "hold", "delay", "jitter"},
	"split":   {},
	"stall":   {},
	"kill":    {"keep"},
	"rolling": {"every"},
}

type layout struct {
	Troubles []*struct {
		Name string   `hcl:"name,label"`
		Body hcl.Body `hcl:",remain"`
	} `hcl:"trouble,block"`
}

const minute = 60e6

// ReadScript reads a script. Its error has a line with the place for each fault.
func ReadScript(path string) (*Script, error) {
	var l layout
	r, err := config.Open(path, &l)
	if err != nil {
		return nil, err
	}
	if !r.Valid() {
		return nil, r.Err()
	}
	s := &Script{}
	for _, b := range l.Troubles {
		t := Trouble{Kind: b.Name, Fraction: 0.2, Direction: "both", KeepDir: true}
		takes, ok := kinds[b.Name]
		if !ok {
			r.AddError(b.Body, "no trouble %q; allowed: %s", b.Name, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
			continue
		}
		var from, hold, delay, jitter float64
		long, every := 6e6, 2e6
		who, toward, keep := "", "", ""
		set := r.Fields(b.Body, config.Field{Name: "from", Unit: config.Span, Min: 0, Max: 60 * minute, To: &from},
			config.Field{Name: "for", Unit: config.Span, Min: 1e3, Max: 60 * minute, To: &long},
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
			if !slices.Contains([]string{"from", "for", "part", "who"}, name) && !slices.Contains(takes, name) {
				r.AddError(b.Body, "trouble %q takes no %s; it takes from, for, part, who%s", b.Name, name, strings.Join(append([]string{""}, takes...), ", "))
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
		t.From, t.To, t.Every, t.KeepDir = span(from), span(from+long), span(every), keep != "no"
		t.Fault.ReorderDelay, t.Fault.Delay, t.Fault.Jitter = span(cmp.Or(hold, 50e3)), span(delay), span(jitter)
		t.Targets, t.Peers = strings.Fields(who), strings.Fields(toward)
		t.Fault.Cut, t.Fault.Blackhole = b.Name == "cut", b.Name == "silence" || b.Name == "split"
		s.Troubles = append(s.Troubles, t)
	}
	return s, r.Err()
}

// End is when the last trouble is over.
func (s *Script) End() (end time.Duration) {
	for _, t := range s.Troubles {
		end = max(end, t.To)
	}
	return end
}

// SelectTargets names those of all whom each trouble meets: the same seed and names, the same ones.
func (s *Script) SelectTargets(seed uint64, all []string) ([][]string, error) {
	var out [][]string
	sorted := slices.Sorted(slices.Values(all))
	for i, t := range s.Troubles {
		for _, name := range append(slices.Clone(t.Targets), t.Peers...) {
			if !slices.Contains(sorted, name) {
				return nil, fmt.Errorf("trouble %d, %q: nobody is called %q", i+1, t.Kind, name)
			}
		}
		met := t.Targets
		if len(met) == 0 {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			pick := slices.Clone(sorted)
			rng.Shuffle(len(pick), func(a, b int) { pick[a], pick[b] = pick[b], pick[a] })
			met = pick[:max(1, int(t.Fraction*float64(len(pick))+0.5))]
			slices.Sort(met)
		}
		out = append(out, met)
	}
	return out, nil
}

// Play plays the script on processes and links, and returns when its last trouble is over or the context ends. Whatever
// it put in force it takes back: links are whole then, nobody is stalled, and whoever was killed runs again.
func (s *Script) Play(ctx context.Context, seed uint64, all []*Process, links *Links, log *Log) error {
	byName := map[string]*Process{}
	var names []string
	for _, p := range all {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	meets, err := s.SelectTargets(seed, names)
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
			log.Add("script", "trouble", float64(i+1), t.Kind+" "+strings.Join(meets[i], " "))
			if e := t.play(ctx, meets[i], byName, links, log); e != nil {
				mu.Lock()
				err = cmp.Or(err, e)
				mu.Unlock()
			}
			log.Add("script", "over", float64(i+1), t.Kind)
		})
	}
	troubles.Wait()
	return err
}

func (t *Trouble) play(ctx context.Context, met []string, byName map[string]*Process, links *Links, log *Log) (err error) {
	long := t.To - t.From
	each := func(f func(*Process) error) {
		for _, name := range met {
			err = cmp.Or(err, f(byName[name]))
		}
	}
	again := func(p *Process) error { return p.Start(log) }
	switch t.Kind {
	case "stall":
		each(func(p *Process) error { return p.Signal(syscall.SIGSTOP) })
		sleep(long, ctx.Done())
		each(func(p *Process) error { return p.Signal(syscall.SIGCONT) })
	case "kill":
		each(func(p *Process) error {
			p.Kill()
			if !t.KeepDir {
				return p.RemoveDir()
			}
			return nil
		})
		sleep(long, ctx.Done())
		each(again)
	case "rolling":
		for _, name := range met {
			p := byName[name]
			p.Stop(10 * time.Second)
			err = cmp.Or(err, again(p))
			if !sleep(t.Every, ctx.Done()) {
				break
			}
		}
	default:
		in := map[string]bool{}
		for _, name := range met {
			in[name] = true
		}
		defer links.Inject(t.Fault, func(from, to string) bool { return t.on(in, from, to) })()
		sleep(long, ctx.Done())
	}
	return err
}

// on reports whether a direction of a link is one that the trouble meets.
func (t *Trouble) on(met map[string]bool, from, to string) bool {
	if t.Kind == "split" {
		return met[from] != met[to]
	}
	toward := func(name string) bool { return len(t.Peers) == 0 || slices.Contains(t.Peers, name) }
	return t.Direction != "in" && met[from] && toward(to) || t.Direction != "out" && met[to] && toward(from)
}
