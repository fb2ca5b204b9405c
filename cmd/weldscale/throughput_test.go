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

// What a fleet of eight workers of four slots serves through the scheduler, and through a plain reverse proxy that
// deals round, as processes of their own over the same workers in the same run. Run on demand:
//
//	go test ./cmd/weldscale -run '^$' -bench Serve -benchtime 1x

// program starts this test binary in a mode of TestMain and returns it with its log.
func program(t testing.TB, mode string, env ...string) (*exec.Cmd, *logged) {
	log := &logged{news: make(chan struct{}, 1)}
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

// startProgram starts a scheduler in a process of its own and waits until it serves.
func startProgram(t testing.TB, site standin.SchedulerConfig, env ...string) (*exec.Cmd, string) {
	site.Listen = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, site.JSON(), 0o600))
	cmd, log := program(t, "program", append(env, "GW_CONFIG="+path)...)
	log.await(t, "serving")
	return cmd, site.Listen
}

// plainProxy is the yardstick: the standard library's proxy, dealing round over the workers named in PROXY_TO.
func plainProxy() {
	runtime.GOMAXPROCS(2) // as the scheduler has
	var to []*url.URL
	for addr := range strings.FieldsSeq(os.Getenv("PROXY_TO")) {
		to = append(to, &url.URL{Scheme: "http", Host: addr})
	}
	var n atomic.Int64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(to[int(n.Add(1))%len(to)]) },
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

// cpuOf is the processor time that a process has used.
func cpuOf(t testing.TB, pid int) time.Duration {
	var clock unix.Timespec
	require.NoError(t, unix.ClockGettime(int32(^pid<<3|2), &clock)) // the process's CPU clock, as clock_getcpuclockid(3)
	return time.Duration(clock.Nano())
}

func startFleet(t testing.TB, n int, c standin.WorkerConfig) *standin.Fleet {
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
				f := startFleet(b, 8, standin.WorkerConfig{Queue: 16, TellsStart: true, Refresh: report})
				cmd, addr := startProgram(b, standin.SchedulerConfig{Discovery: f.Discovery.Addr(), Known: f.Discovery.Known()})
				proxyAddr, to := freeAddr(b), ""
				for _, w := range f.Workers {
					to += w.Addr() + " "
				}
				proxy, log := program(b, "proxy", "PROXY_LISTEN="+proxyAddr, "PROXY_TO="+to)
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
						before := cpuOf(b, target.pid)
						r := load.Run(context.Background())
						rate[i] = float64(r.Served) / r.Took.Seconds()
						cpu[i] = float64((cpuOf(b, target.pid) - before).Microseconds()) / float64(max(1, r.Sent))
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

// What the load command's clients drive on two cores, against a stand-in worker in a process of its own.
func BenchmarkLoad(b *testing.B) {
	_, log := program(b, "worker")
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
