// Package simtest runs simulations in tests over fixed and fresh seeds. A test that fails tells how to play its seed again:
//
//	go test ./path -run TestName -sim.seed 1234
package simtest

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var (
	seedFlag  = flag.Uint64("sim.seed", 0, "play only this seed (0: the fixed and the fresh ones)")
	freshFlag = flag.Int("sim.fresh", -1, "number of fresh seeds (-1: what the test asks for)")
	fixedFlag = flag.Int("sim.fixed", -1, "number of fixed seeds (-1: what the test asks for)")
)

// Seeds tells how many seeds a test plays: the fixed ones are 1 to Fixed, the fresh ones are drawn anew.
type Seeds struct {
	Fixed int
	Fresh int
}

// Run plays a simulation for each seed, or for the one that the flag -sim.seed names. A failed seed ends the test.
func Run(t *testing.T, seeds Seeds, play func(t *testing.T, seed uint64)) {
	t.Helper()
	if *seedFlag != 0 {
		play(t, *seedFlag)
		return
	}
	for _, seed := range seeds.list() {
		if !runOne(t, seed, play) {
			t.FailNow()
		}
	}
}

// list returns the seeds to be played.
func (s Seeds) list() []uint64 {
	if *fixedFlag >= 0 {
		s.Fixed = *fixedFlag
	}
	if *freshFlag >= 0 {
		s.Fresh = *freshFlag
	}
	var list []uint64
	for seed := range s.Fixed {
		list = append(list, uint64(seed)+1)
	}
	for range s.Fresh {
		list = append(list, rand.Uint64()|1) // never 0
	}
	return list
}

// runOne plays one seed and prints it if the play fails.
func runOne(t *testing.T, seed uint64, play func(t *testing.T, seed uint64)) bool {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d failed; play it again: go test -run '^%s$' -sim.seed %d", seed, t.Name(), seed)
		}
	}()
	play(t, seed)
	return !t.Failed()
}
