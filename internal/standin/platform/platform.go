// Package platform is a stand-in of the platform: the HTTP list of workers, with pages, zones, a lag and a rate limit,
// and the entry that assigns new client connections to ready routers.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The states of an instance.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is a model that a worker has loaded.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// Instance is a worker in the list.
type Instance struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int64
	Stage           string  `json:",omitempty"`
	Models          []Model `json:",omitempty"`
	ID              string  `json:"Id"`
}

// Config describes the list. Zero values mean the defaults given in the comments.
type Config struct {
	Address  string        // 127.0.0.1:0
	PageSize int           // 50
	RatePerS float64       // no limit
	Lag      time.Duration // none
	Now      func() time.Time
	// OnListed, if set, is called with the time at which the list first shows that a worker is draining or removed.
	OnListed func(id string, at time.Time)
}

type version struct {
	number int
	at     time.Time // when the version becomes visible
	list   []Instance
}

// Platform is a running list service. It is safe for concurrent use.
type Platform struct {
	config  Config
	server  *http.Server
	address string

	mu       sync.Mutex
	versions []version
	tokens   float64   // of the rate limit's bucket
	filled   time.Time // when tokens were last added
	down     bool
	calls    int
	limited  int // calls that were answered 429
}

// Start starts a platform with an empty list. Close stops it.
func Start(config Config) (*Platform, error) {
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	if config.PageSize == 0 {
		config.PageSize = 50
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	p := &Platform{config: config, address: listener.Addr().String(), versions: []version{{}}}
	p.tokens, p.filled = p.burst(), config.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveInstances)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the address that the server listens on.
func (p *Platform) Address() string { return p.address }

// Close stops the server.
func (p *Platform) Close() { _ = p.server.Close() }

// Put adds instances to the list and replaces those with the same ID.
func (p *Platform) Put(instances ...Instance) {
	p.change(func(list []Instance) []Instance {
		for _, instance := range instances {
			at := slices.IndexFunc(list, func(other Instance) bool { return other.ID == instance.ID })
			if at < 0 {
				list = append(list, instance)
			} else {
				list[at] = instance
			}
		}
		return list
	})
}

// Drain marks an instance as draining.
func (p *Platform) Drain(id string) {
	p.change(func(list []Instance) []Instance {
		for i := range list {
			if list[i].ID == id {
				list[i].State = StateDraining
			}
		}
		return list
	})
}

// Remove removes an instance from the list.
func (p *Platform) Remove(id string) {
	p.change(func(list []Instance) []Instance {
		return slices.DeleteFunc(list, func(instance Instance) bool { return instance.ID == id })
	})
}

func (p *Platform) change(edit func([]Instance) []Instance) {
	p.mu.Lock()
	last := p.versions[len(p.versions)-1]
	next := version{number: last.number + 1, at: p.config.Now().Add(p.config.Lag), list: edit(slices.Clone(last.list))}
	p.versions = append(p.versions, next)
	p.mu.Unlock()
	if p.config.OnListed == nil {
		return
	}
	for _, before := range last.list {
		if before.State != StateReady {
			continue
		}
		after := slices.IndexFunc(next.list, func(instance Instance) bool { return instance.ID == before.ID })
		if after < 0 || next.list[after].State != StateReady {
			p.config.OnListed(before.ID, next.at)
		}
	}
}

// SetDown sets whether every call fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of calls received, and how many of them the rate limit rejected with 429.
func (p *Platform) Calls() (calls, limited int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.limited
}

// burst returns the capacity of the token bucket.
func (p *Platform) burst() float64 { return max(1, p.config.RatePerS) }

// admit counts a call and takes a token from the bucket. It returns false if the bucket is empty. mu must be held.
func (p *Platform) admit(now time.Time) bool {
	p.calls++
	if p.config.RatePerS <= 0 {
		return true
	}
	p.tokens = min(p.burst(), p.tokens+now.Sub(p.filled).Seconds()*p.config.RatePerS)
	p.filled = now
	if p.tokens < 1 {
		p.limited++
		return false
	}
	p.tokens--
	return true
}

// visible returns the version of the list that is visible now. mu must be held.
func (p *Platform) visible(now time.Time) version {
	for i := len(p.versions) - 1; i > 0; i-- {
		if !p.versions[i].at.After(now) {
			return p.versions[i]
		}
	}
	return p.versions[0]
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	now := p.config.Now()
	down, admitted, current := p.down, p.admit(now), p.visible(now)
	versions := p.versions
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !admitted:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	offset := 0
	if token := r.URL.Query().Get("PageToken"); token != "" {
		number, from, ok := parseToken(token)
		if !ok || number >= len(versions) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		current, offset = versions[number], from
	}
	p.writePage(w, current, offset, r.URL.Query().Get("Zone"))
}

func (p *Platform) writePage(w http.ResponseWriter, current version, offset int, zone string) {
	list := []Instance{}
	for _, instance := range current.list {
		if zone == "" || instance.Zone == zone {
			list = append(list, instance)
		}
	}
	list = list[min(offset, len(list)):]
	var page struct {
		Instances     []Instance
		NextPageToken *string
	}
	page.Instances = list[:min(p.config.PageSize, len(list))]
	if len(list) > p.config.PageSize {
		next := fmt.Sprintf("p-%d-%d", current.number, offset+p.config.PageSize)
		page.NextPageToken = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func parseToken(token string) (number, offset int, ok bool) {
	fields := strings.Split(token, "-")
	if len(fields) != 3 || fields[0] != "p" {
		return 0, 0, false
	}
	number, err := strconv.Atoi(fields[1])
	offset, err2 := strconv.Atoi(fields[2])
	return number, offset, err == nil && err2 == nil && number >= 0 && offset >= 0
}
