package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// connectTimeout limits how long a client waits for a new connection.
	connectTimeout = time.Second
	// newConnectionShare is the share of requests that open a new connection even if others are idle.
	newConnectionShare = 0.2
	maxIdle            = 256
)

// connectionPool holds the idle connections of a group. A client with an open connection doesn't ask the platform whether the
// router still accepts new clients: it uses the connection until the router closes it.
type connectionPool struct {
	transport *http.Transport

	mu     sync.Mutex
	rng    *rand.Rand
	idle   []*connection
	closed bool
}

// connection is a connection to a router that carries one request at a time.
type connection struct {
	*http.ClientConn
	address string
}

func newConnectionPool(seed uint64) *connectionPool {
	return &connectionPool{transport: &http.Transport{DisableCompression: true}, rng: rand.New(rand.NewPCG(seed, poolStream))}
}

// poolStream separates the random numbers of the pool from those of the load.
const poolStream = 1 << 32

// take returns an idle open connection, or nil if the caller should open a new one.
func (p *connectionPool) take() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rng.Float64() < newConnectionShare {
		return nil
	}
	for len(p.idle) > 0 {
		i, last := p.rng.IntN(len(p.idle)), len(p.idle)-1
		conn := p.idle[i]
		p.idle[i], p.idle = p.idle[last], p.idle[:last]
		if conn.Available() == 1 {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// open opens a connection to a router.
func (p *connectionPool) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.transport.NewClientConn(ctx, "http", address)
	if err != nil {
		return nil, err
	}
	return &connection{ClientConn: conn, address: address}, nil
}

// put returns a connection whose last answer was read completely. A connection that can't carry another request is closed.
func (p *connectionPool) put(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle || conn.Available() != 1 {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// close closes the idle connections, and those in use when they are returned.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}
