package placement

import (
	"encoding/binary"

	"weldscale/decide"
)

// believed is how many peers must complain of a worker before the dispatcher ejects it. The controllers have weighed the word
// of several routers, so theirs counts as much.
const believed = 2

// MarkSuspect keeps work off workers that other routers complain of, for a term and within the dispatcher's bounds.
func (p *Placer) MarkSuspect(workers []string) {
	if len(workers) == 0 {
		return
	}
	p.mu.RLock()
	pools := make([]*pool, 0, len(p.pools))
	for _, target := range p.pools {
		pools = append(pools, target)
	}
	p.mu.RUnlock()
	for _, target := range pools {
		target.distrust(workers)
	}
}

func (p *pool) distrust(workers []string) {
	p.call(func(now decide.Time) {
		for _, name := range workers {
			id, known := p.ids[name]
			if !known {
				continue
			}
			message := binary.BigEndian.AppendUint64(nil, uint64(id))
			for range believed {
				p.dispatch.PeerMessage(now, 0, message)
			}
		}
	})
}
