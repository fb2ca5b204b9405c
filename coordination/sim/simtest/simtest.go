// Package simtest runs simulations in tests over fixed and fresh random seeds. A failed test logs the command that runs its
// seed again:
//
//	go test ./path -run TestName -sim.seed 1234
package simtest

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var (
	seedFlag  = flag.Uint64("sim.seed", 0, "run only this seed (0: the fixed and the fresh seeds)")
	freshFlag = flag.Int("sim.fresh", -1, "number of fresh random seeds (-1: as set by the test)")
	fixedFlag = flag.Int("sim.fixed", -1, "number of fixed seeds (-1: as set by the test)")
)

// Seeds holds the numbers of seeds of a test. The fixed seeds are 1 to Fixed; the fresh seeds are random in each run.
type Seeds struct {
	Fixed int
	Fresh int
}

// Run calls simulate for each seed, or only for the seed of the flag -sim.seed. It ends the test at the first seed that fails.
func Run(t *testing.T, seeds Seeds, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	if *seedFlag != 0 {
		simulate(t, *seedFlag)
		return
	}
	for _, seed := range seeds.list() {
		if !runOne(t, seed, simulate) {
			t.FailNow()
		}
	}
}

// list returns the seeds to run. The flags -sim.fixed and -sim.fresh override the numbers of s.
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
		list = append(list, rand.Uint64()|1) // never 0, which means no seed in -sim.seed
	}
	return list
}

// runOne runs one seed, logs it if it fails, and reports whether it passed.
func runOne(t *testing.T, seed uint64, simulate func(t *testing.T, seed uint64)) bool {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d failed; run it again: go test -run '^%s$' -sim.seed %d", seed, t.Name(), seed)
		}
	}()
	simulate(t, seed)
	return !t.Failed()
}
