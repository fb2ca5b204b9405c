package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"weldscale/internal/standin"
)

// BenchmarkServe measures what a fleet of eight workers with four slots each serves through the scheduler, and through a plain
// round-robin reverse proxy. Both are processes of their own and use the same workers in the same run. Run it on demand:
//
//	go test ./cmd/weldscale -run '^$' -bench Serve -benchtime 1x

// startTestBinary starts this test binary in a mode of TestMain and returns the process and its log.
func startTestBinary(t testing.TB, mode string, env ...string) (*exec.Cmd, *programLog) {
	log := &programLog{changed: make(chan struct{}, 1)}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "WELDSCALE_TEST="+mode), env...)
	cmd.Stderr = log
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return cmd, log
}

// The ports of freeAddr are below the range that Linux assigns to outgoing connections, which starts at 32768 by default.
const (
	firstTestPort = 20000
	testPorts     = 12000
)

// testPortsTried counts the ports that freeAddr has tried in this process.
var testPortsTried atomic.Uint64

// freeAddr returns a loopback address on which nothing listens. Each call returns another one, and no outgoing connection
// gets its port before the program under test binds it.
func freeAddr(t testing.TB) string {
	for range testPorts {
		offset := (97*uint64(os.Getpid()) + testPortsTried.Add(1)) % testPorts // test processes start at different ports
		addr := fmt.Sprint("127.0.0.1:", firstTestPort+offset)
		if ln, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, ln.Close())
			return addr
		}
	}
	require.FailNow(t, "no port is free")
	return ""
}

// startSchedulerProcess starts a scheduler in a process of its own and waits until it serves.
func startSchedulerProcess(t testing.TB, schedulerConfig standin.SchedulerConfig, env ...string) (*exec.Cmd, string) {
	schedulerConfig.Listen = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, schedulerConfig.JSON(), 0o600))
	cmd, log := startTestBinary(t, "program", append(env, "GW_CONFIG="+path)...)
	log.await(t, "serving")
	return cmd, schedulerConfig.Listen
}

// plainProxy is the baseline of BenchmarkServe: the standard library's reverse proxy, round-robin over the workers in PROXY_TO.
func plainProxy() {
	runtime.GOMAXPROCS(2) // the same as the scheduler
	var workers []*url.URL
	for addr := range strings.FieldsSeq(os.Getenv("PROXY_TO")) {
		workers = append(workers, &url.URL{Scheme: "http", Host: addr})
	}
	var requests atomic.Int64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(workers[int(requests.Add(1))%len(workers)]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}
	ln, err := net.Listen("tcp", os.Getenv("PROXY_LISTEN"))
	if err != nil {
		slog.Error("proxy", "why", err)
		os.Exit(1)
	}
	slog.Info("serving")
	_ = http.Serve(ln, proxy)
}

// processCPUTime returns the CPU time that a process has used.
func processCPUTime(t testing.TB, pid int) time.Duration {
	var clock unix.Timespec
	require.NoError(t, unix.ClockGettime(int32(^pid<<3|2), &clock)) // the process's CPU clock, as clock_getcpuclockid(3)
	return time.Duration(clock.Nano())
}

func startWorkerFleet(t testing.TB, n int, c standin.WorkerConfig) *standin.Fleet {
	f, err := standin.StartFleet(n, c)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func BenchmarkServe(b *testing.B) {
	short := func(run time.Duration) []standin.JobKind {
		return []standin.JobKind{{Class: "view", Share: 1, Task: standin.Task{Run: run}, Budget: 5 * time.Second}}
	}
	for _, c := range []struct {
		name string
		load standin.Load
	}{
		{"open150x20ms", standin.Load{Rate: 150, Kinds: short(20 * time.Millisecond)}},
		{"open600x20ms", standin.Load{Rate: 600, Kinds: short(20 * time.Millisecond)}},
		{"closed32x0ms", standin.Load{Clients: 32, Kinds: short(0)}},
	} {
		for _, report := range []time.Duration{0, 100 * time.Millisecond} {
			b.Run(fmt.Sprintf("%s/reports=%v", c.name, report), func(b *testing.B) {
				f := startWorkerFleet(b, 8, standin.WorkerConfig{Queue: 16, TellsStart: true, Refresh: report})
				cmd, addr := startSchedulerProcess(b, standin.SchedulerConfig{Discovery: f.Discovery.Addr(), Known: f.Discovery.Known()})
				proxyAddr, workerAddrs := freeAddr(b), ""
				for _, w := range f.Workers {
					workerAddrs += w.Addr() + " "
				}
				proxy, log := startTestBinary(b, "proxy", "PROXY_LISTEN="+proxyAddr, "PROXY_TO="+workerAddrs)
				log.await(b, "serving")
				load := c.load
				load.For, load.Seed = 5*time.Second, 1
				for b.Loop() {
					var rate, cpu [2]float64
					for i, target := range []struct {
						addr string
						pid  int
					}{{addr, cmd.Process.Pid}, {proxyAddr, proxy.Process.Pid}} {
						load.Target, load.Name = target.addr, fmt.Sprint("b", i)
						before := processCPUTime(b, target.pid)
						r := load.Run(context.Background())
						rate[i] = float64(r.Served) / r.Took.Seconds()
						cpu[i] = float64((processCPUTime(b, target.pid) - before).Microseconds()) / float64(max(1, r.Sent))
						if i == 0 {
							b.ReportMetric(float64(r.Served), "served")
							b.ReportMetric(float64(r.Refused), "refused")
							b.ReportMetric(float64(r.Failed+r.Broken+r.Wrong), "failed")
							b.ReportMetric(r.Quantile(50).Seconds()*1e3, "p50-ms")
							b.ReportMetric(r.Quantile(99).Seconds()*1e3, "p99-ms")
						}
					}
					b.ReportMetric(rate[0], "jobs/s")
					b.ReportMetric(rate[0]/rate[1], "of-proxy")
					b.ReportMetric(cpu[0], "cpu-us/job")
					b.ReportMetric(cpu[0]/cpu[1], "cpu-of-proxy")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkLoad measures how many requests a second the load command's clients send on two cores. The stand-in worker runs in
// a process of its own.
func BenchmarkLoad(b *testing.B) {
	_, log := startTestBinary(b, "worker")
	log.await(b, "now")
	addr := strings.Fields(log.text)[2]
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
	for _, clients := range []int{8, 64} {
		b.Run(fmt.Sprint("clients=", clients), func(b *testing.B) {
			for b.Loop() {
				r := standin.Load{Target: addr, Seed: 1, For: 3 * time.Second, Clients: clients, Kinds: []standin.JobKind{{Class: "view", Share: 1,
					Budget: 5 * time.Second}}}.Run(context.Background())
				b.ReportMetric(float64(r.Sent)/r.Took.Seconds(), "requests/s")
				b.ReportMetric(float64(r.Broken), "broken")
			}
		})
	}
}
