package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// connectTimeout is how long a client waits for a new connection.
	connectTimeout = time.Second
	// freshShare is the part of the requests that open a connection although others rest.
	freshShare = 0.2
	mostHeld   = 256
)

// connections are those that a crowd holds between requests. A client that has one asks nobody whether its router still takes
// new clients: it uses the connection until the router closes it.
type connections struct {
	transport *http.Transport

	mu     sync.Mutex
	rng    *rand.Rand
	held   []*connection
	closed bool
}

// connection is one connection to a router, used by one request at a time.
type connection struct {
	*http.ClientConn
	address string
}

func newConnections(seed uint64) *connections {
	return &connections{transport: &http.Transport{DisableCompression: true}, rng: rand.New(rand.NewPCG(seed, heldStream))}
}

// heldStream tells the numbers drawn here from those of the loads.
const heldStream = 1 << 32

// take returns an open connection that rests, or nil where a new one is to be opened.
func (c *connections) take() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng.Float64() < freshShare {
		return nil
	}
	for len(c.held) > 0 {
		i, last := c.rng.IntN(len(c.held)), len(c.held)-1
		taken := c.held[i]
		c.held[i], c.held = c.held[last], c.held[:last]
		if taken.Available() == 1 {
			return taken
		}
		_ = taken.Close()
	}
	return nil
}

// open opens a connection to a router.
func (c *connections) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := c.transport.NewClientConn(ctx, "http", address)
	if err != nil {
		return nil, err
	}
	return &connection{ClientConn: opened, address: address}, nil
}

// give holds a connection whose last answer was read whole. One that can carry no other request is closed.
func (c *connections) give(back *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.held) >= mostHeld || back.Available() != 1 {
		_ = back.Close()
		return
	}
	c.held = append(c.held, back)
}

// close closes the connections that rest, and those in use as they are given back.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, held := range c.held {
		_ = held.Close()
	}
	c.held = nil
}
