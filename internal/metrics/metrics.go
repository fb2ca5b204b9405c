// Package metrics keeps what Prometheus reads: histograms of what requests went through, by service, class and outcome,
// and the counters. It owns names, labels and buckets. It must never be on a request's way with more than an
// observation: reading it out is done beside the loop.
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

// buckets in seconds, from a probe on the same machine to a job that takes half a minute.
var buckets = []float64{.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// Registry is all that is kept.
type Registry struct {
	registry                     *prometheus.Registry
	wait, probe, attempt, answer *prometheus.HistogramVec
	// Stats is the text of the counters: words of name=value, a line for each service.
	Stats func() string
}

// New returns an empty set.
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
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), counters{m})
	return m
}

// Outcomes of an answer.
const (
	Served = iota
	Refused
	Failed
	Hangup
)

var answers = [...]string{"served", "refused", "failed", "hangup"}

// Service observes for one service.
type Service struct {
	m       *Registry
	wait    []prometheus.Observer
	probe   [decide.NotSent + 1]prometheus.Observer
	attempt [][decide.NotSent + 1]prometheus.Observer
	answer  [][len(answers)]prometheus.Observer
}

// Service returns the observers of a service; outcomes names those of attempts and probes.
func (m *Registry) Service(name string, classes []string, outcomes []string) *Service {
	s := &Service{m: m, attempt: make([][decide.NotSent + 1]prometheus.Observer, len(classes)), answer: make([][len(answers)]prometheus.Observer, len(classes))}
	for i, class := range classes {
		s.wait = append(s.wait, m.wait.WithLabelValues(name, class))
		for o := range s.attempt[i] {
			s.attempt[i][o] = m.attempt.WithLabelValues(name, class, outcomes[o])
		}
		for o := range s.answer[i] {
			s.answer[i][o] = m.answer.WithLabelValues(name, class, answers[o])
		}
	}
	for o := range s.probe {
		s.probe[o] = m.probe.WithLabelValues(name, outcomes[o])
	}
	return s
}

func seconds(t decide.Time) float64 { return float64(t) / 1e6 }

// Wait takes in how long a request waited for its first attempt.
func (s *Service) Wait(class int, t decide.Time) { s.wait[class].Observe(seconds(t)) }

// Probe takes in how a probe ended.
func (s *Service) Probe(o decide.Status, t decide.Time) { s.probe[o].Observe(seconds(t)) }

// Attempt takes in how an attempt ended.
func (s *Service) Attempt(class int, o decide.Status, t decide.Time) {
	s.attempt[class][o].Observe(seconds(t))
}

// Answer takes in the end of a request.
func (s *Service) Answer(class, outcome int, t decide.Time) {
	s.answer[class][outcome].Observe(seconds(t))
}

// counters turns the text of the counters into gauges, so that no counter needs to be named twice.
type counters struct{ m *Registry }

// Describe implements prometheus.Collector: it is unchecked, since a service may come or go.
func (counters) Describe(chan<- *prometheus.Desc) {}

var notName = regexp.MustCompile(`[^a-z0-9_]`)

// Collect implements prometheus.Collector.
func (c counters) Collect(out chan<- prometheus.Metric) {
	if c.m.Stats == nil {
		return
	}
	for line := range strings.Lines(c.m.Stats()) {
		service := ""
		for _, word := range strings.Fields(line) {
			name, text, _ := strings.Cut(word, "=")
			if name == "service" {
				service = text
			} else if v, err := strconv.ParseFloat(text, 64); err == nil {
				desc := prometheus.NewDesc("weldscale_"+notName.ReplaceAllString(name, "_"), "The counter "+name+" of /-/stats.", []string{"service"}, nil)
				out <- prometheus.MustNewConstMetric(desc, prometheus.UntypedValue, v, service)
			}
		}
	}
}

// Text is all of it in Prometheus's text form. It takes a while, and is not for the loop.
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
