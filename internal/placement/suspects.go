package placement

import (
	"encoding/binary"

	"weldscale/decide"
)

// complaintsToEject is the number of peer complaints after which the dispatcher ejects a worker. The controllers name a worker
// only after several routers reported it, so one report of theirs counts as this many.
const complaintsToEject = 2

// MarkSuspect passes on that other routers complain of these workers. The dispatchers eject them for a limited time, and limit
// how many workers are ejected at once.
func (p *Placer) MarkSuspect(workers []string) {
	if len(workers) == 0 {
		return
	}
	p.mu.RLock()
	pools := make([]*pool, 0, len(p.pools))
	for _, workerPool := range p.pools {
		pools = append(pools, workerPool)
	}
	p.mu.RUnlock()
	for _, workerPool := range pools {
		workerPool.markSuspect(workers)
	}
}

// markSuspect passes complaints of the given workers to the dispatcher. It ignores workers that are not in the pool.
func (p *pool) markSuspect(workers []string) {
	p.withDispatcher(func(now decide.Time) {
		for _, name := range workers {
			id, known := p.workerIDs[name]
			if !known {
				continue
			}
			message := binary.BigEndian.AppendUint64(nil, uint64(id))
			for range complaintsToEject {
				p.dispatcher.PeerMessage(now, 0, message)
			}
		}
	})
}
