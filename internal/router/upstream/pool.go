package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Pool holds the connections to all workers. It is safe for concurrent use.
type Pool struct {
	options    Options
	transport  *http.Transport
	staleLimit staleConnLimit

	mutex   sync.Mutex
	workers map[string]*workerConns
	closed  bool
}

// workerConns holds the connections to one address.
type workerConns struct {
	idle []*Conn // the most recently used connection is last
	open int     // idle, in use and being established
}

// New returns an empty pool.
func New(options Options) *Pool {
	options = options.withDefaults()
	return &Pool{options: options, transport: newTransport(options), workers: map[string]*workerConns{}}
}

// AnyIdleTime is the maxIdleTime for Acquire that accepts every idle connection.
const AnyIdleTime = time.Duration(1<<63 - 1)

// Acquire returns a connection to the address. It reuses one that has been idle for at most maxIdleTime, otherwise it opens a
// new one if fewer than limit are open. It returns ErrExhausted at the limit and ErrConnect if connecting fails.
func (p *Pool) Acquire(ctx context.Context, address string, limit int, maxIdleTime time.Duration) (*Conn, error) {
	conn, err := p.takeIdle(address, limit, maxIdleTime)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = p.connect(ctx, address)
	if err != nil {
		p.releaseSlot(address)
		return nil, err
	}
	return conn, nil
}

// takeIdle returns an idle connection, or nil after it has reserved the slot of a new one.
func (p *Pool) takeIdle(address string, limit int, maxIdleTime time.Duration) (*Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.workers[address]
	if entry == nil {
		entry = &workerConns{}
		p.workers[address] = entry
	}
	now := time.Now()
	maxIdleTime = min(maxIdleTime, p.staleLimit.maxIdleTime(now))
	for len(entry.idle) > 0 {
		last := len(entry.idle) - 1
		conn := entry.idle[last]
		entry.idle[last] = nil
		entry.idle = entry.idle[:last]
		if conn.usable(now, maxIdleTime) {
			conn.idleTime = now.Sub(conn.idleSince)
			return conn, nil
		}
		_ = conn.clientConn.Close()
		entry.open--
	}
	if entry.open >= max(1, limit) {
		return nil, ErrExhausted
	}
	entry.open++
	return nil, nil
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	result := &dialResult{}
	started := time.Now()
	clientConn, err := p.transport.NewClientConn(context.WithValue(ctx, dialResultKey{}, result), "http", address)
	if err != nil {
		return nil, eris.Wrapf(ErrConnect, "%s: %v", address, err)
	}
	return &Conn{pool: p, address: address, clientConn: clientConn, tracked: result.conn, idleTimeout: p.options.IdleTimeout,
		connectTime: time.Since(started)}, nil
}

func (p *Pool) putIdle(conn *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.workers[conn.address]
	if p.closed || entry == nil {
		_ = conn.clientConn.Close()
		p.releaseSlotLocked(conn.address)
		return
	}
	entry.idle = append(entry.idle, conn)
}

func (p *Pool) removeConn(conn *Conn) { p.releaseSlot(conn.address) }

func (p *Pool) releaseSlot(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseSlotLocked(address)
}

func (p *Pool) releaseSlotLocked(address string) {
	entry := p.workers[address]
	if entry == nil {
		return
	}
	entry.open--
	if entry.open <= 0 {
		delete(p.workers, address)
	}
}

// Sweep closes idle connections that are dead or past their idle timeout, and all idle ones to addresses for which wanted
// returns false.
func (p *Pool) Sweep(wanted func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for address, entry := range p.workers {
		keepWorker := wanted(address)
		kept := entry.idle[:0]
		for _, conn := range entry.idle {
			if keepWorker && conn.usable(now, AnyIdleTime) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.clientConn.Close()
			entry.open--
		}
		clear(entry.idle[len(kept):])
		entry.idle = kept
		if entry.open <= 0 {
			delete(p.workers, address)
		}
	}
}

// Close closes the idle connections. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Sweep(func(string) bool { return false })
}
