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

// Timing of the operators.
const (
	operatorCallTimeout = time.Second // bounds one call to a controller
	operatorGiveUpAfter = 14 * time.Second
	minOperatorPause    = 50 * time.Millisecond
	maxOperatorPause    = 1500 * time.Millisecond
	burstChanges        = 25
)

// simOperator sends changes and reads as PROTOCOL requires of operators: a change without a definite answer is sent again
// unchanged to any controller.
type simOperator struct {
	site           *simSite
	name           string
	random         *rand.Rand
	http           *http.Transport
	sent           int
	version        int64       // version that the operator takes for the current one
	acknowledged   []change    // changes that were acknowledged to this operator
	answerLossRate float64     // share of the answers that are lost
	avoid          *simMachine // machine that is not called, if any
}

// newOperator adds an operator on a machine of its own.
func (s *simSite) newOperator(name string, ip string, seed uint64) *simOperator {
	machine := s.network.AddMachine(ip)
	s.external = append(s.external, machine)
	return &simOperator{
		site:   s,
		name:   name,
		random: rand.New(rand.NewPCG(seed, uint64(name[0]))),
		http:   &http.Transport{DialContext: machine.Start().Dial, DisableKeepAlives: true},
	}
}

// run sends changes and reads until ctx is done.
func (o *simOperator) run(ctx context.Context) {
	for ctx.Err() == nil {
		duration := minOperatorPause + time.Duration(o.random.Int64N(int64(maxOperatorPause-minOperatorPause)))
		if !pause.For(ctx, duration) {
			return
		}
		o.answerLossRate = 0.4 * o.random.Float64()
		switch draw := o.random.Float64(); {
		case draw < 0.3:
			o.read(ctx)
		case draw < 0.4 && len(o.acknowledged) > 0:
			o.post(ctx, o.acknowledged[o.random.IntN(len(o.acknowledged))], true)
		case draw < 0.45:
			for range burstChanges {
				o.change(ctx)
			}
		default:
			o.change(ctx)
		}
	}
}

// change sends a change on top of the version that the operator knows. It reports whether the change was acknowledged.
func (o *simOperator) change(ctx context.Context) bool {
	result := o.send(ctx, o.version+1+int64(o.random.IntN(2)))
	if result == simRejected {
		o.read(ctx)
	}
	return result == simCommitted
}

// send sends a new change to a version, on top of the version that the operator knows.
func (o *simOperator) send(ctx context.Context, version int64) simResult {
	o.sent++
	requested := newChange(o.version, version, []byte(simConfig(version, o.marker())))
	result := o.post(ctx, requested, false)
	if result == simCommitted {
		o.version = version
		o.acknowledged = append(o.acknowledged, requested)
	}
	return result
}

// marker returns a text that is different in each change of the operator.
func (o *simOperator) marker() string { return fmt.Sprintf("%s%d", o.name, o.sent) }

// post sends a change until there is a definite answer. It returns 0 if the operator gives up.
func (o *simOperator) post(ctx context.Context, requested change, resent bool) simResult {
	begun := time.Now()
	o.site.checks.recordSent(requested)
	for attempt := 0; time.Since(begun) < operatorGiveUpAfter && ctx.Err() == nil; attempt++ {
		target := o.target()
		status, _ := o.call(ctx, http.MethodPost, target, pathReplace, requested.Base, requested.Body)
		result := resultOf(status)
		if result != 0 {
			o.site.logf("%s: %s answered with status %d to change %x on version %d (resent: %v)",
				o.name, target, status, requested.Digest[:3], requested.Base, resent || attempt > 0)
			o.site.checks.recordCall(simCall{begun: begun, change: requested.Digest, result: result})
			if result == simCommitted {
				o.signalAck()
			}
			return result
		}
		backOff(ctx, attempt)
	}
	o.site.logf("%s: no definite answer to change %x on version %d", o.name, requested.Digest[:3], requested.Base)
	return 0
}

// backOff waits for a time that grows with the attempts up to a bound.
func backOff(ctx context.Context, attempt int) {
	const steps, step = 5, 50 * time.Millisecond
	pause.For(ctx, time.Duration(1+min(attempt, steps))*step)
}

// resultOf returns the result that an HTTP status stands for, or 0 if the status leaves it open.
func resultOf(status int) simResult {
	switch {
	case status == http.StatusOK:
		return simCommitted
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return simRejected
	}
	return 0
}

// signalAck signals an acknowledgement to a fault that waits for one.
func (o *simOperator) signalAck() {
	select {
	case o.site.acked <- struct{}{}:
	default:
	}
}

// read reads the current configuration and remembers its version.
func (o *simOperator) read(ctx context.Context) {
	begun := time.Now()
	for attempt := 0; time.Since(begun) < operatorGiveUpAfter && ctx.Err() == nil; attempt++ {
		sent := time.Now()
		status, body := o.call(ctx, http.MethodGet, o.target(), pathRead, 0, nil)
		if status == http.StatusOK {
			o.handleRead(sent, body)
			return
		}
		backOff(ctx, attempt)
	}
}

// handleRead records a configuration that was read and remembers its version.
func (o *simOperator) handleRead(sent time.Time, body []byte) {
	config, err := fleetconfig.Parse(body)
	if err != nil {
		o.site.checks.failf("a configuration that was read is invalid: %v", err)
		return
	}
	o.version = config.Version
	o.site.checks.recordRead(sent, body)
}

// target returns the address of a random controller other than the avoided one.
func (o *simOperator) target() string {
	cores := lo.Without(o.site.currentCores(), o.avoid)
	return cores[o.random.IntN(len(cores))].control()
}

// call makes one call. It returns the status and body of the answer, or 0 and nil if there is none.
func (o *simOperator) call(ctx context.Context, method, target, path string, base int64, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
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
	if err != nil || o.random.Float64() < o.answerLossRate {
		return 0, nil
	}
	return response.StatusCode, answer
}

// simConfig returns a configuration with an engine, which makes the stages role send orders to workers, and with a service
// named by marker.
func simConfig(version int64, marker string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[{"Name":"%s","HealthCheck":"/h","MaxConnections":9,"Protocol":"h1","Tls":false,`+
		`"Engine":{"Slots":8,"KvTokens":1000,"KvTokenBytes":10,"LinkMbps":1000.0,"stride":1,"HandleTtlS":5.0,"SwitchS":1.9,`+
		`"Models":[{"Name":"m"}]}},{"Name":"%s","HealthCheck":"/h","MaxConnections":9,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, simService, marker)
}
