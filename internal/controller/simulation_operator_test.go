package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"weldscale/internal/fleetconfig"
	"weldscale/internal/pause"
)

// Patience of the operators.
const (
	operatorPatience = time.Second // with one controller
	operatorGivesUp  = 14 * time.Second
	shortestRest     = 50 * time.Millisecond
	longestRest      = 1500 * time.Millisecond
	burstChanges     = 25
)

// simOperator sends changes and reads, as PROTOCOL has operators do it: what got no clear answer is sent again unchanged, to
// any controller.
type simOperator struct {
	site    *simSite
	name    string
	random  *rand.Rand
	http    *http.Transport
	sent    int
	version int64       // that it takes for the current one
	old     []change    // acknowledged to it
	losing  float64     // share of the answers that don't reach it
	avoid   *simMachine // is not called; nil: all are
}

func (s *simSite) newOperator(name string, ip string, seed uint64) *simOperator {
	machine := s.network.AddMachine(ip)
	s.outer = append(s.outer, machine)
	return &simOperator{
		site:   s,
		name:   name,
		random: rand.New(rand.NewPCG(seed, uint64(name[0]))),
		http:   &http.Transport{DialContext: machine.Start().Dial, DisableKeepAlives: true},
	}
}

// work sends changes and reads until the context is done.
func (o *simOperator) work(ctx context.Context) {
	for ctx.Err() == nil {
		rest := shortestRest + time.Duration(o.random.Int64N(int64(longestRest-shortestRest)))
		if !pause.For(ctx, rest) {
			return
		}
		o.losing = 0.4 * o.random.Float64()
		switch draw := o.random.Float64(); {
		case draw < 0.3:
			o.read(ctx)
		case draw < 0.4 && len(o.old) > 0:
			o.post(ctx, o.old[o.random.IntN(len(o.old))], true)
		case draw < 0.45:
			for range burstChanges {
				o.change(ctx)
			}
		default:
			o.change(ctx)
		}
	}
}

// change sends a change on top of the version that the operator knows. It reports whether it was acknowledged.
func (o *simOperator) change(ctx context.Context) bool {
	verdict := o.send(ctx, o.version+1+int64(o.random.IntN(2)))
	if verdict == simRefused {
		o.read(ctx)
	}
	return verdict == simTaken
}

// send sends a new change of a version on top of the one that the operator knows.
func (o *simOperator) send(ctx context.Context, version int64) simVerdict {
	o.sent++
	wanted := newChange(o.version, version, []byte(simConfig(version, o.mark())))
	verdict := o.post(ctx, wanted, false)
	if verdict == simTaken {
		o.version = version
		o.old = append(o.old, wanted)
	}
	return verdict
}

// mark is in each change of the operator another one.
func (o *simOperator) mark() string { return fmt.Sprintf("%s%d", o.name, o.sent) }

// post sends a change until its answer is clear or the operator gives up, which returns 0.
func (o *simOperator) post(ctx context.Context, wanted change, again bool) simVerdict {
	begun := time.Now()
	o.site.checks.sending(wanted)
	for try := 0; time.Since(begun) < operatorGivesUp && ctx.Err() == nil; try++ {
		target := o.target()
		status, _ := o.call(ctx, http.MethodPost, target, pathReplace, wanted.Base, wanted.Body)
		verdict := verdictOf(status)
		if verdict != 0 {
			o.site.logf("%s: %s answers %d to change %x on %d (sent again: %v)", o.name, target, status, wanted.Digest[:3], wanted.Base, again || try > 0)
			o.site.checks.called(simCall{begun: begun, change: wanted.Digest, verdict: verdict})
			if verdict == simTaken {
				o.tellAck()
			}
			return verdict
		}
		backOff(ctx, try)
	}
	o.site.logf("%s: no clear answer to change %x on %d", o.name, wanted.Digest[:3], wanted.Base)
	return 0
}

// backOff waits for a time that grows with the tries.
func backOff(ctx context.Context, try int) {
	const steps, step = 5, 50 * time.Millisecond
	pause.For(ctx, time.Duration(1+min(try, steps))*step)
}

func verdictOf(status int) simVerdict {
	switch {
	case status == http.StatusOK:
		return simTaken
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return simRefused
	}
	return 0
}

// tellAck lets a trouble strike that waits for an acknowledgement.
func (o *simOperator) tellAck() {
	select {
	case o.site.acked <- struct{}{}:
	default:
	}
}

// read reads the newest configuration and takes its version for the current one.
func (o *simOperator) read(ctx context.Context) {
	begun := time.Now()
	for try := 0; time.Since(begun) < operatorGivesUp && ctx.Err() == nil; try++ {
		sent := time.Now()
		status, body := o.call(ctx, http.MethodGet, o.target(), pathRead, 0, nil)
		if status == http.StatusOK {
			o.took(sent, body)
			return
		}
		backOff(ctx, try)
	}
}

func (o *simOperator) took(sent time.Time, body []byte) {
	config, err := fleetconfig.Parse(body)
	if err != nil {
		o.site.checks.failf("a configuration that was read is invalid: %v", err)
		return
	}
	o.version = config.Version
	o.site.checks.read(sent, body)
}

func (o *simOperator) target() string {
	cores := lo.Without(o.site.present(), o.avoid)
	return cores[o.random.IntN(len(cores))].control()
}

// call returns the status of the answer, or 0 without one.
func (o *simOperator) call(ctx context.Context, method, target, path string, base int64, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, operatorPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set(headerBase, strconv.FormatInt(base, 10))
	response, err := o.http.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || o.random.Float64() < o.losing {
		return 0, nil
	}
	return response.StatusCode, answer
}

// simConfig is a configuration with an engine, for the orders to workers, and a mark of its own.
func simConfig(version int64, mark string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[{"Name":"%s","HealthCheck":"/h","MaxConnections":9,"Protocol":"h1","Tls":false,`+
		`"Engine":{"Slots":8,"KvTokens":1000,"KvTokenBytes":10,"LinkMbps":1000.0,"stride":1,"HandleTtlS":5.0,"SwitchS":1.9,`+
		`"Models":[{"Name":"m"}]}},{"Name":"%s","HealthCheck":"/h","MaxConnections":9,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, simService, mark)
}
