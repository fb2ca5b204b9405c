package engine

// part is a prompt part in the prefix cache. It can be evicted when it has no references.
type part struct {
	key        string
	blocks     int
	references int
	lastUsed   int // value of the cache's clock at the last use
}

// cache is the KV memory: the cached parts and the count of blocks that belong to single jobs and handles.
type cache struct {
	total         int // blocks
	privateBlocks int // blocks that belong to single jobs and handles
	cached        map[string]*part
	clock         int
}

func newCache(blocks int) cache { return cache{total: blocks, cached: map[string]*part{}} }

// used returns the count of blocks that can't be evicted.
func (c *cache) used() int {
	n := c.privateBlocks
	for _, p := range c.cached {
		if p.references > 0 {
			n += p.blocks
		}
	}
	return n
}

func (c *cache) free() int {
	n := c.total - c.privateBlocks
	for _, p := range c.cached {
		n -= p.blocks
	}
	return n
}

// evictUntilFree evicts the least recently used parts until blocks are free. It reports false, and evicts nothing, if
// that isn't possible.
func (c *cache) evictUntilFree(blocks int) bool {
	if c.total-c.used() < blocks {
		return false
	}
	for c.free() < blocks {
		delete(c.cached, c.leastRecentlyUsed().key)
	}
	return true
}

func (c *cache) leastRecentlyUsed() *part {
	var leastRecentlyUsed *part
	for _, p := range c.cached {
		if p.references == 0 && (leastRecentlyUsed == nil || p.lastUsed < leastRecentlyUsed.lastUsed) {
			leastRecentlyUsed = p
		}
	}
	return leastRecentlyUsed
}

func (c *cache) acquire(p *part) {
	c.clock++
	p.references++
	p.lastUsed = c.clock
}

func partKey(job Job, p Part) string { return job.Model + "/" + p.ID }

// reserve allocates the memory that a job needs to start: references to the leading cached parts, and blocks for the rest
// of the prompt, the tokens generated so far and the next one. It reports whether the memory sufficed.
func (e *Engine) reserve(t *task) bool {
	hit := e.cachedParts(t.Job)
	for _, p := range hit {
		e.cache.acquire(p)
	}
	rest := t.Parts[len(hit):]
	blocks := e.blocksOf(t.generated + 1)
	for _, p := range rest {
		blocks += e.blocksOf(p.Tokens)
	}
	if !e.cache.evictUntilFree(blocks) {
		for _, p := range hit {
			p.references--
		}
		return false
	}
	t.held, t.privateBlocks, t.uncached = hit, blocks, rest
	e.cache.privateBlocks += blocks
	t.prefillLeft = 0
	if t.Fetched && !t.preempted {
		e.stats.Fetched += promptTokens(t.Job)
		return true
	}
	t.prefillLeft = promptTokens(Job{Parts: rest}) + t.generated
	e.stats.TokensCached += promptTokens(t.Job) - promptTokens(Job{Parts: rest})
	return true
}

// cachedParts returns the leading parts of a prompt that are cached.
func (e *Engine) cachedParts(job Job) []*part {
	var hit []*part
	for _, p := range job.Parts {
		cached := e.cache.cached[partKey(job, p)]
		if p.ID == "" || cached == nil {
			break
		}
		hit = append(hit, cached)
	}
	return hit
}

// cacheParts moves the parts that a job has prefilled from its private blocks to the cache, where other jobs can use them.
func (e *Engine) cacheParts(t *task) {
	for _, p := range t.uncached {
		if p.ID == "" {
			continue
		}
		key, blocks := partKey(t.Job, p), e.blocksOf(p.Tokens)
		cached := e.cache.cached[key]
		if cached == nil {
			cached = &part{key: key, blocks: blocks}
			e.cache.cached[key] = cached
		}
		e.cache.acquire(cached)
		t.held = append(t.held, cached)
		t.privateBlocks -= blocks
		e.cache.privateBlocks -= blocks
	}
	t.uncached = nil
}

// grow allocates memory for one more token and preempts jobs if necessary. It reports false if t itself was preempted.
func (e *Engine) grow(t *task) bool {
	if t.generated+1 <= e.blocksOf(t.generated)*e.config.Block || t.generated == t.Done {
		return true
	}
	for !e.cache.evictUntilFree(1) {
		victim := e.victim()
		e.preempt(victim)
		if victim == t {
			return false
		}
	}
	t.privateBlocks++
	e.cache.privateBlocks++
	return true
}

// victim returns the newest of the least urgent running jobs.
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
	t.preempted = true
	e.stats.Preempted++
}

func (e *Engine) release(t *task) {
	for _, p := range t.held {
		p.references--
	}
	e.cache.privateBlocks -= t.privateBlocks
	t.held, t.privateBlocks, t.uncached = nil, 0, nil
}

// Cached reports whether all the given leading parts of a prompt are cached. It is for tests.
func (e *Engine) Cached(model string, parts ...Part) bool {
	return len(e.cachedParts(Job{Model: model, Parts: parts})) == len(parts)
}
