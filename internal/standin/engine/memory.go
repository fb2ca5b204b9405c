package engine

// part is a part of some prompt in the memory. It can give way once nobody holds it.
type part struct {
	key    string
	blocks int
	holds  int
	used   int // the cache's clock at its last use
}

// cache is the memory: the parts that are kept, and the count of blocks that single jobs hold.
type cache struct {
	total   int // blocks
	private int // blocks that jobs and handles hold for themselves
	kept    map[string]*part
	clock   int
}

func newCache(blocks int) cache { return cache{total: blocks, kept: map[string]*part{}} }

// used is the count of blocks that can't give way.
func (c *cache) used() int {
	n := c.private
	for _, p := range c.kept {
		if p.holds > 0 {
			n += p.blocks
		}
	}
	return n
}

func (c *cache) free() int {
	n := c.total - c.private
	for _, p := range c.kept {
		n -= p.blocks
	}
	return n
}

// makeRoom evicts the parts unused longest until blocks are free, and reports whether they are.
func (c *cache) makeRoom(blocks int) bool {
	if c.total-c.used() < blocks {
		return false
	}
	for c.free() < blocks {
		delete(c.kept, c.oldest().key)
	}
	return true
}

func (c *cache) oldest() *part {
	var oldest *part
	for _, p := range c.kept {
		if p.holds == 0 && (oldest == nil || p.used < oldest.used) {
			oldest = p
		}
	}
	return oldest
}

func (c *cache) hold(p *part) {
	c.clock++
	p.holds++
	p.used = c.clock
}

func partKey(job Job, p Part) string { return job.Model + "/" + p.ID }

// reserve takes the memory that a job needs to start: the leading parts that are kept, blocks for the rest of the prompt
// and one block for its tokens. It reports whether there was room.
func (e *Engine) reserve(t *task) bool {
	hit := e.keptParts(t.Job)
	for _, p := range hit {
		e.cache.hold(p)
	}
	rest := t.Parts[len(hit):]
	blocks := e.blocksOf(t.made + 1)
	for _, p := range rest {
		blocks += e.blocksOf(p.Tokens)
	}
	if !e.cache.makeRoom(blocks) {
		for _, p := range hit {
			p.holds--
		}
		return false
	}
	t.held, t.private, t.missing = hit, blocks, rest
	e.cache.private += blocks
	t.toRead = 0
	if t.Fetched && !t.refilled {
		e.stats.Fetched += promptTokens(t.Job)
		return true
	}
	t.toRead = promptTokens(Job{Parts: rest}) + t.made
	e.stats.TokensCached += promptTokens(t.Job) - promptTokens(Job{Parts: rest})
	return true
}

// keptParts returns the leading parts of a prompt that are kept.
func (e *Engine) keptParts(job Job) []*part {
	var hit []*part
	for _, p := range job.Parts {
		kept := e.cache.kept[partKey(job, p)]
		if p.ID == "" || kept == nil {
			break
		}
		hit = append(hit, kept)
	}
	return hit
}

// keepParts moves the parts that a job has read from its own blocks to the cache, where others find them.
func (e *Engine) keepParts(t *task) {
	for _, p := range t.missing {
		if p.ID == "" {
			continue
		}
		key, blocks := partKey(t.Job, p), e.blocksOf(p.Tokens)
		kept := e.cache.kept[key]
		if kept == nil {
			kept = &part{key: key, blocks: blocks}
			e.cache.kept[key] = kept
		}
		e.cache.hold(kept)
		t.held = append(t.held, kept)
		t.private -= blocks
		e.cache.private -= blocks
	}
	t.missing = nil
}

// grow makes room for one more token, if need be by preemption. It reports whether t itself goes on.
func (e *Engine) grow(t *task) bool {
	if t.made+1 <= e.blocksOf(t.made)*e.config.Block || t.made == t.Done {
		return true
	}
	for !e.cache.makeRoom(1) {
		victim := e.victim()
		e.preempt(victim)
		if victim == t {
			return false
		}
	}
	t.private++
	e.cache.private++
	return true
}

// victim is the newest among the least urgent jobs that hold memory.
func (e *Engine) victim() *task {
	var victim *task
	for _, t := range e.tasks {
		if t.phase != phaseQueued && (victim == nil || less(victim, t)) {
			victim = t
		}
	}
	return victim
}

func (e *Engine) preempt(t *task) {
	e.release(t)
	t.phase = phaseQueued
	t.refilled = true
	e.stats.Preempted++
}

func (e *Engine) release(t *task) {
	for _, p := range t.held {
		p.holds--
	}
	e.cache.private -= t.private
	t.held, t.private, t.missing = nil, 0, nil
}

// Cached reports whether the leading parts of a prompt are kept, for tests.
func (e *Engine) Cached(model string, parts ...Part) bool {
	return len(e.keptParts(Job{Model: model, Parts: parts})) == len(parts)
}
