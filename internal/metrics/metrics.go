// Package metrics exports Prometheus metrics: latency histograms by service, class and outcome, and the scheduler's counters.
// Requests only record observations; metrics are gathered and encoded outside the event loop.
package metrics

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"weldscale/decide"
)

// buckets are the histogram bounds in seconds, from a probe on the same machine to a job of half a minute.
var buckets = []float64{.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// Registry holds the metrics of a scheduler.
type Registry struct {
	registry                     *prometheus.Registry
	wait, probe, attempt, answer *prometheus.HistogramVec
	// Stats returns the counters as text: space-separated name=value pairs, one line per service.
	Stats func() string
}

// New returns a Registry without services.
func New() *Registry {
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "weldscale", Name: name, Help: help, Buckets: buckets},
			append([]string{"service"}, labels...))
	}
	m := &Registry{registry: prometheus.NewRegistry(),
		wait:    histogram("wait_seconds", "From a request's arrival to its first attempt.", "class"),
		probe:   histogram("probe_seconds", "How long probes took, by how they ended.", "outcome"),
		attempt: histogram("attempt_seconds", "How long attempts took, by how they ended.", "class", "outcome"),
		answer:  histogram("answer_seconds", "From a request's arrival to its final answer, by what that was.", "class", "outcome")}
	m.registry.MustRegister(m.wait, m.probe, m.attempt, m.answer, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), statsCollector{m})
	return m
}

// Outcomes of a request.
const (
	Served = iota
	Refused
	Failed
	Hangup
)

var answerOutcomes = [...]string{"served", "refused", "failed", "hangup"}

// Service records observations of one service.
type Service struct {
	registry *Registry
	wait     []prometheus.Observer
	probe    [decide.NotSent + 1]prometheus.Observer
	attempt  [][decide.NotSent + 1]prometheus.Observer
	answer   [][len(answerOutcomes)]prometheus.Observer
}

// Service returns the Service with the given name. The outcomes are the label values of attempts and probes, indexed by
// decide.Status.
func (m *Registry) Service(name string, classes []string, outcomes []string) *Service {
	s := &Service{registry: m, attempt: make([][decide.NotSent + 1]prometheus.Observer, len(classes)), answer: make([][len(answerOutcomes)]prometheus.Observer, len(classes))}
	for i, class := range classes {
		s.wait = append(s.wait, m.wait.WithLabelValues(name, class))
		for o := range s.attempt[i] {
			s.attempt[i][o] = m.attempt.WithLabelValues(name, class, outcomes[o])
		}
		for o := range s.answer[i] {
			s.answer[i][o] = m.answer.WithLabelValues(name, class, answerOutcomes[o])
		}
	}
	for o := range s.probe {
		s.probe[o] = m.probe.WithLabelValues(name, outcomes[o])
	}
	return s
}

func seconds(t decide.Time) float64 { return float64(t) / 1e6 }

// Wait records the time from a request's arrival to its first attempt.
func (s *Service) Wait(class int, t decide.Time) { s.wait[class].Observe(seconds(t)) }

// Probe records the outcome and duration of a probe.
func (s *Service) Probe(o decide.Status, t decide.Time) { s.probe[o].Observe(seconds(t)) }

// Attempt records the outcome and duration of an attempt.
func (s *Service) Attempt(class int, o decide.Status, t decide.Time) {
	s.attempt[class][o].Observe(seconds(t))
}

// Answer records the outcome of a request and the time from its arrival to its final answer.
func (s *Service) Answer(class, outcome int, t decide.Time) {
	s.answer[class][outcome].Observe(seconds(t))
}

// statsCollector exports the counters by parsing their text form, so that no counter has to be declared here too.
type statsCollector struct{ registry *Registry }

// Describe implements prometheus.Collector. It describes nothing, which makes the collector unchecked: services may be added
// and removed.
func (statsCollector) Describe(chan<- *prometheus.Desc) {}

var invalidNameChars = regexp.MustCompile(`[^a-z0-9_]`)

// Collect implements prometheus.Collector.
func (c statsCollector) Collect(out chan<- prometheus.Metric) {
	if c.registry.Stats == nil {
		return
	}
	for line := range strings.Lines(c.registry.Stats()) {
		service := ""
		for _, pair := range strings.Fields(line) {
			name, text, _ := strings.Cut(pair, "=")
			if name == "service" {
				service = text
			} else if v, err := strconv.ParseFloat(text, 64); err == nil {
				desc := prometheus.NewDesc("weldscale_"+invalidNameChars.ReplaceAllString(name, "_"), "The counter "+name+" of /-/stats.", []string{"service"}, nil)
				out <- prometheus.MustNewConstMetric(desc, prometheus.UntypedValue, v, service)
			}
		}
	}
}

// Text returns all metrics in Prometheus's text format. It is slow and must not be called from the event loop.
func (m *Registry) Text() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := expfmt.NewEncoder(&b, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, f := range families {
		if err := w.Encode(f); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}
