package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/simtest"
)

// Durations of a simulation and bounds of its waits.
const (
	simFaultSpan     = 60 * time.Second
	simFormTimeout   = 4 * time.Second
	simSettleTimeout = 8 * time.Second
	simPollInterval  = 20 * time.Millisecond
)

// await waits until missing, which says what is still missing, returns an empty string. It records a violation if that takes
// longer than bound. It returns the time that passed, and returns early after a violation.
func (s *simSite) await(bound time.Duration, what string, missing func() string) time.Duration {
	begun := time.Now()
	for time.Since(begun) < bound {
		if s.checks.firstViolation() != "" || missing() == "" {
			return time.Since(begun)
		}
		time.Sleep(simPollInterval)
	}
	if text := missing(); text != "" {
		s.checks.failf("not reached within %v: %s: missing: %s", bound, what, text)
	}
	return time.Since(begun)
}

// unformed returns the name of a core machine without a formed replica set, or an empty string.
func (s *simSite) unformed() string {
	for _, m := range s.currentCores() {
		if program := m.program(); program == nil || !program.node.Formed() {
			return m.settings.NodeName
		}
	}
	return ""
}

// failOnViolation fails the test and prints the event log if a check was violated.
func (s *simSite) failOnViolation() {
	s.t.Helper()
	if violation := s.checks.firstViolation(); violation != "" {
		s.t.Fatalf("%s\n%s", violation, s.eventLog())
	}
}

// runWithFaults injects faults into a site while two operators send changes. It checks that the site settles soon after the
// last fault.
func (s *simSite) runWithFaults(seed uint64, duration time.Duration, faults []simFault) {
	sampling, stopSampling := context.WithCancel(s.ctx)
	defer stopSampling()
	go s.checks.sample(sampling)
	s.await(simFormTimeout, "formed", s.unformed)
	operators := []*simOperator{s.newOperator("a", "10.7.0.1", seed), s.newOperator("b", "10.7.0.2", seed)}
	operatorContext, stopOperators := context.WithCancel(s.ctx)
	defer stopOperators()
	operatorDone := make(chan struct{}, len(operators))
	for _, operator := range operators {
		go func() {
			operator.run(operatorContext)
			operatorDone <- struct{}{}
		}()
	}
	faultContext, stopFaults := context.WithTimeout(s.ctx, duration)
	defer stopFaults()
	faultsEnded := make(chan struct{})
	go func() {
		select {
		case <-s.checks.violated:
			stopFaults()
		case <-faultsEnded:
		}
	}()
	s.injectFaults(faultContext, faults)
	close(faultsEnded)
	s.startAll(s.currentCores())()
	s.logf("all faults have ended")
	s.await(simSettleTimeout, "the settled state", s.checks.unsettled)
	stopOperators()
	for range operators {
		<-operatorDone
	}
	s.checkAfterFaults(operators[0])
}

// checkAfterFaults checks that a change is acknowledged in time and reaches every frontend, and then checks the whole history.
func (s *simSite) checkAfterFaults(operator *simOperator) {
	operator.answerLossRate = 0
	operator.read(s.ctx)
	begun := time.Now()
	acknowledged := operator.change(s.ctx)
	for !acknowledged && time.Since(begun) < simAckBound {
		acknowledged = operator.change(s.ctx) // a change that an operator gave up on may have been committed in between
	}
	if !acknowledged || time.Since(begun) > simAckBound {
		s.checks.failf("a change at a settled site took %v", time.Since(begun))
	}
	s.await(simPropagationBound, "the change at every frontend", s.frontendWithout(operator.version))
	operator.read(s.ctx)
	s.checks.checkLinearizable()
}

// runSimulation runs a site with random faults and returns it.
func runSimulation(t *testing.T, seed uint64, tolerance int, faults []simFault) *simSite {
	var finished *simSite
	synctest.Test(t, func(t *testing.T) {
		s := newSimSite(t, seed, tolerance)
		defer s.failOnViolation()
		defer s.shutDown()
		s.runWithFaults(seed, simFaultSpan, faults)
		finished = s
	})
	return finished
}

func TestControllersStayConsistentUnderRandomFaults(t *testing.T) {
	for name, tolerance := range map[string]int{"three": 1, "five": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			committed, sent := 0, 0
			simtest.Run(t, simtest.Seeds{Fixed: 4, Fresh: 2}, func(t *testing.T, seed uint64) {
				s := runSimulation(t, seed, tolerance, simFaults)
				committed, sent = committed+len(s.checks.committed), sent+len(s.checks.digestByBody)
			})
			t.Logf("%d of %d changes were committed", committed, sent)
			require.Greater(t, 3*committed, sent)
		})
	}
}
