package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Pool holds the connections to all workers. It is safe for use by several goroutines.
type Pool struct {
	options   Options
	transport *http.Transport
	memory    memory

	mutex   sync.Mutex
	workers map[string]*worker
	closed  bool
}

// worker is what the pool knows of one address.
type worker struct {
	idle []*Conn // the one used last stands last
	open int     // idle, in use and coming about
}

// New returns an empty pool.
func New(options Options) *Pool {
	options = options.withDefaults()
	return &Pool{options: options, transport: newTransport(options), workers: map[string]*worker{}}
}

// AnyIdleTime is the bound of Acquire for requests that any kept connection may carry.
const AnyIdleTime = time.Duration(1<<63 - 1)

// Acquire returns a connection to the address: a kept one that rested no longer than restedAtMost, otherwise a new one
// while fewer than limit are open.
func (p *Pool) Acquire(ctx context.Context, address string, limit int, restedAtMost time.Duration) (*Conn, error) {
	conn, err := p.takeIdle(address, limit, restedAtMost)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = p.connect(ctx, address)
	if err != nil {
		p.forgetOne(address)
		return nil, err
	}
	return conn, nil
}

// takeIdle returns a kept connection, or nil with the place of a new one reserved.
func (p *Pool) takeIdle(address string, limit int, restedAtMost time.Duration) (*Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.workers[address]
	if entry == nil {
		entry = &worker{}
		p.workers[address] = entry
	}
	now := time.Now()
	restedAtMost = min(restedAtMost, p.memory.restedAtMost(now))
	for len(entry.idle) > 0 {
		last := len(entry.idle) - 1
		conn := entry.idle[last]
		entry.idle[last] = nil
		entry.idle = entry.idle[:last]
		if conn.usable(now, restedAtMost) {
			conn.rested = now.Sub(conn.idleSince)
			return conn, nil
		}
		_ = conn.client.Close()
		entry.open--
	}
	if entry.open >= max(1, limit) {
		return nil, ErrExhausted
	}
	entry.open++
	return nil, nil
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	slot := &dialSlot{}
	began := time.Now()
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialSlotKey{}, slot), "http", address)
	if err != nil {
		return nil, eris.Wrapf(ErrConnect, "%s: %v", address, err)
	}
	return &Conn{pool: p, address: address, client: client, raw: slot.conn, keepFor: p.options.IdleTimeout,
		cameIn: time.Since(began)}, nil
}

func (p *Pool) keep(conn *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.workers[conn.address]
	if p.closed || entry == nil {
		_ = conn.client.Close()
		p.forgetOneLocked(conn.address)
		return
	}
	entry.idle = append(entry.idle, conn)
}

func (p *Pool) forget(conn *Conn) { p.forgetOne(conn.address) }

func (p *Pool) forgetOne(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.forgetOneLocked(address)
}

func (p *Pool) forgetOneLocked(address string) {
	entry := p.workers[address]
	if entry == nil {
		return
	}
	entry.open--
	if entry.open <= 0 {
		delete(p.workers, address)
	}
}

// Sweep closes the idle connections that are dead or have rested too long, and those to addresses that wanted denies.
func (p *Pool) Sweep(wanted func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for address, entry := range p.workers {
		keep := wanted(address)
		kept := entry.idle[:0]
		for _, conn := range entry.idle {
			if keep && conn.usable(now, AnyIdleTime) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.client.Close()
			entry.open--
		}
		clear(entry.idle[len(kept):])
		entry.idle = kept
		if entry.open <= 0 {
			delete(p.workers, address)
		}
	}
}

// Close closes the idle connections; those in use are closed when they are given back.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Sweep(func(string) bool { return false })
}
