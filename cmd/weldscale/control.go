package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"

	"weldscale/internal/logs"
	"weldscale/internal/mgmt"
)

// This file implements the control socket, through which an operator controls a running scheduler, and the commands that use
// it. The socket is opened only if the operator's file names a path, and only its owner may connect. It serves no client
// requests, and a call never waits for a loop that has ended.

// controlTimeout limits a command's wait for its answer, and the time to read a request's header.
const controlTimeout = 10 * time.Second

// control serves the control socket.
type control struct {
	scheduler *scheduler
	read      func() (*config, error) // reads the configuration again, for a reload
	srv       *http.Server
}

// listenControl opens the control socket. It replaces a stale socket of a scheduler that has ended. It returns an error if a
// program still accepts connections at the path.
func listenControl(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: in use by a running program", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control socket %s: there is something else at that path", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	old := syscall.Umask(0o177) // the socket must never be accessible to other users
	defer syscall.Umask(old)
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return ln, nil
}

// startControl opens the control socket and serves it until close is called.
func startControl(s *scheduler, path string, read func() (*config, error)) (*control, error) {
	ln, err := listenControl(path)
	if err != nil {
		return nil, err
	}
	c := &control{scheduler: s, read: read}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", c.stats)
	mux.HandleFunc("GET /fleet", c.fleet)
	mux.HandleFunc("POST /reload", c.reload)
	mux.HandleFunc("POST /drain", c.drain)
	mux.HandleFunc("POST /level", c.level)
	mux.HandleFunc("/control/", c.operate)
	c.srv = &http.Server{Handler: mux, ReadHeaderTimeout: controlTimeout}
	go func() {
		if err := c.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("control socket closed", "why", err)
		}
	}()
	return c, nil
}

// close closes the socket and removes its path.
func (c *control) close() {
	if c != nil {
		c.srv.Close()
	}
}

func (c *control) stats(w http.ResponseWriter, _ *http.Request) {
	var text string
	c.scheduler.loop.Do(func() { text = c.scheduler.server.Stats() })
	fmt.Fprintln(w, text)
}

// fleet does not use the loop, so it also works while the loop hangs.
func (c *control) fleet(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, c.scheduler.fleet.text())
}

func (c *control) reload(w http.ResponseWriter, _ *http.Request) {
	conf, err := c.read()
	c.scheduler.loop.Do(func() { err = c.scheduler.reload(conf, err) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	fmt.Fprintln(w, "the new configuration is in force")
}

func (c *control) drain(w http.ResponseWriter, _ *http.Request) {
	n := 0
	c.scheduler.loop.Do(func() {
		slog.Info("stopping", "signal", "control socket", "open", c.scheduler.openRequests())
		n = c.scheduler.openRequests()
		c.scheduler.stop()
	})
	fmt.Fprintf(w, "stopping; %d requests in hand are answered first\n", n)
}

// operate serves the calls of the management address on the control socket.
func (c *control) operate(w http.ResponseWriter, r *http.Request) {
	request, reply := mgmt.ParseRequest(r.Method, r.URL.EscapedPath())
	if request != nil {
		reply = request.Do(operations{c.scheduler})
	}
	w.WriteHeader(reply.Status)
	fmt.Fprintln(w, reply.Text)
}

func (c *control) level(w http.ResponseWriter, r *http.Request) {
	to := r.URL.Query().Get("to")
	if err := logs.SetLevel(to); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	slog.Info("log level", "to", to)
	c.scheduler.loop.Do(c.scheduler.updateTrace)
	fmt.Fprintln(w, "the log's level is", to)
}

// remote holds the argument that all commands for a running scheduler share.
type remote struct {
	Socket string `arg:"" help:"The control socket, as the control block of the operator's file names it. For ready, counters, offline and online also the second address, HOST:PORT." placeholder:"PATH"`
}

// call sends a request to the scheduler and prints the answer.
func (r remote) call(ctx context.Context, method, path string) error {
	client := &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if host, _, err := net.SplitHostPort(r.Socket); err == nil && !strings.Contains(host, "/") {
			return (&net.Dialer{}).DialContext(ctx, "tcp", r.Socket)
		}
		return (&net.Dialer{}).DialContext(ctx, "unix", r.Socket)
	}}}
	req, err := http.NewRequestWithContext(ctx, method, "http://weldscale"+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) {
			err = op
		}
		return fmt.Errorf("%s: no scheduler answers there: %w", r.Socket, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	_, err = io.Copy(os.Stdout, bytes.NewReader(text))
	return err
}

type statsCmd struct{ remote }
type reloadCmd struct{ remote }
type drainCmd struct{ remote }
type levelCmd struct {
	remote
	To string `arg:"" help:"debug, info, warn or error." enum:"debug,info,warn,error"`
}

type readyCmd struct{ remote }
type countersCmd struct{ remote }
type offlineCmd struct {
	remote
	Worker string `arg:"" help:"The worker's name, as the list has it."`
}
type onlineCmd struct {
	remote
	Worker string `arg:"" help:"The worker's name, as the list has it."`
}

func (c readyCmd) Run(ctx context.Context) error    { return c.call(ctx, "GET", "/control/ready") }
func (c countersCmd) Run(ctx context.Context) error { return c.call(ctx, "GET", "/control/counters") }
func (c offlineCmd) Run(ctx context.Context) error {
	return c.call(ctx, "POST", "/control/workers/"+url.PathEscape(c.Worker)+"/offline")
}
func (c onlineCmd) Run(ctx context.Context) error {
	return c.call(ctx, "POST", "/control/workers/"+url.PathEscape(c.Worker)+"/online")
}
func (c statsCmd) Run(ctx context.Context) error  { return c.call(ctx, "GET", "/stats") }
func (c reloadCmd) Run(ctx context.Context) error { return c.call(ctx, "POST", "/reload") }
func (c drainCmd) Run(ctx context.Context) error  { return c.call(ctx, "POST", "/drain") }
func (c levelCmd) Run(ctx context.Context) error  { return c.call(ctx, "POST", "/level?to="+c.To) }
