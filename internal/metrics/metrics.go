// Package metrics counts what an entry instance does, in the JSON form of
// package expvar. Each metric has a name, a unit and a meaning;
// docs/METRICS.md is generated from them. A metric by label keeps a bounded
// number of labels and counts the others under one.
//
// The variables are not published globally: several instances may run in one
// process, and expvar's own page would show the command line, secrets included.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// OverflowLabel counts what no further label could be kept for.
const OverflowLabel = "other"

// maxLabels bounds the labels of one metric.
const maxLabels = 64

// Kind is how a metric behaves.
type Kind string

// The kinds of metric.
const (
	// KindCounter only rises.
	KindCounter Kind = "counter"
	// KindGauge is read when asked for.
	KindGauge Kind = "gauge"
	// KindHistogram tells quantiles since the start of the process.
	KindHistogram Kind = "histogram"
)

// Definition documents one metric.
type Definition struct {
	Name string
	Kind Kind
	Unit string
	// Label says what the metric is counted by; empty for a single number.
	Label string
	Help  string
}

// variable is a metric with its value.
type variable struct {
	Definition
	value expvar.Var
}

// Registry holds the metrics of one entry instance. Its fields are safe for
// concurrent use.
type Registry struct {
	// Requests, Refusals and so on are described in docs/METRICS.md.
	Requests        *Counter
	Refusals        *Counter
	Attempts        *Counter
	Retries         *Counter
	Escalations     *Counter
	InputTokens     *Counter
	OutputTokens    *Counter
	Cost            *Counter
	DroppedAnswers  *Counter
	Quarantined     *Counter
	StoreWrites     *Counter
	StoreReads      *Counter
	PeerBytes       *Counter
	PeerDrops       *Counter
	RequestDuration *Histogram
	FirstToken      *Histogram
	QueueWait       *Histogram
	AttemptTime     *Histogram
	StoreDuration   *Histogram
	SettingsDelay   *Histogram

	started time.Time

	mu        sync.Mutex
	variables []variable
	byName    map[string]bool
}

// New makes a registry with every metric at zero.
func New() *Registry {
	r := &Registry{byName: make(map[string]bool), started: time.Now()}
	r.Requests = r.counter("requests_total", "requests", "outcome", "Requests that ended, by outcome.")
	r.Refusals = r.counter("refusals_total", "requests", "code", "Requests refused, by error code.")
	r.Attempts = r.counter("attempts_total", "attempts", "version", "Attempts sent, by model@version or service.")
	r.Retries = r.counter("retries_total", "attempts", "reason", "Attempts after the first, by reason.")
	r.Escalations = r.counter("escalations_total", "requests", "version", "Answers that a dearer version replaced, by the version left.")
	r.InputTokens = r.counter("input_tokens_total", "tokens", "version", "Prompt tokens, by model@version.")
	r.OutputTokens = r.counter("output_tokens_total", "tokens", "version", "Generated tokens, by model@version.")
	r.Cost = r.counter("cost_micro_units_total", "micro-units", "account", "Cost billed, by client account.")
	r.DroppedAnswers = r.counter("dropped_answers_total", "answers", "reason", "Answers dropped as late, crossed or duplicated.")
	r.Quarantined = r.counter("quarantined_total", "requests", "", "Requests refused because their content crashed backend servers.")
	r.StoreWrites = r.counter("store_writes_total", "transactions", "outcome", "Writes to the table service, by outcome.")
	r.StoreReads = r.counter("store_reads_total", "reads", "outcome", "Reads of the table service, by outcome.")
	r.PeerBytes = r.counter("peer_bytes_total", "bytes", "kind", "Bytes sent to other entry instances, by kind of message.")
	r.PeerDrops = r.counter("peer_drops_total", "messages", "kind", "Messages to other entry instances dropped for a full queue, by kind.")
	r.RequestDuration = r.histogram("request_duration_us", "Time from a request's arrival to the end of its answer.")
	r.FirstToken = r.histogram("first_token_us", "Time from a request's arrival to the first token sent.")
	r.QueueWait = r.histogram("queue_wait_us", "Time that an attempt waited for its turn.")
	r.AttemptTime = r.histogram("attempt_duration_us", "Time of an attempt at a backend server.")
	r.StoreDuration = r.histogram("store_duration_us", "Time of a call to the table service.")
	r.SettingsDelay = r.histogram("settings_delay_us", "Time from the commit of a change, where known, to its being in force here.")
	r.process()
	return r
}

// process adds what the runtime tells of the process.
func (r *Registry) process() {
	r.Gauge("process_uptime_s", "seconds", "Time since the process started.", func() float64 {
		return time.Since(r.started).Seconds()
	})
	r.Gauge("process_goroutines", "goroutines", "Goroutines that exist.", func() float64 {
		return float64(runtime.NumGoroutine())
	})
	r.Gauge("process_heap_bytes", "bytes", "Memory in use on the heap.", func() float64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	})
}

// Gauge adds a metric whose value is read when asked for.
func (r *Registry) Gauge(name, unit, help string, read func() float64) {
	r.add(Definition{Name: name, Kind: KindGauge, Unit: unit, Help: help}, expvar.Func(func() any { return read() }))
}

func (r *Registry) counter(name, unit, label, help string) *Counter {
	c := newCounter(label)
	r.add(Definition{Name: name, Kind: KindCounter, Unit: unit, Label: label, Help: help}, c)
	return c
}

func (r *Registry) histogram(name, help string) *Histogram {
	h := newHistogram()
	r.add(Definition{Name: name, Kind: KindHistogram, Unit: "microseconds", Help: help}, h)
	return h
}

// add registers a variable; a name used twice is a fault in the program.
func (r *Registry) add(d Definition, value expvar.Var) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName[d.Name] {
		panic("metric registered twice: " + d.Name)
	}
	r.byName[d.Name] = true
	r.variables = append(r.variables, variable{Definition: d, value: value})
}

func (r *Registry) all() []variable {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]variable(nil), r.variables...)
}

// Definitions lists the metrics in the order in which they were added.
func (r *Registry) Definitions() []Definition {
	var list []Definition
	for _, v := range r.all() {
		list = append(list, v.Definition)
	}
	return list
}

// ServeHTTP writes every metric as one JSON document.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	separator := "{\n"
	for _, v := range r.all() {
		// The reader may be gone; there is nobody else to tell.
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, v.Name, v.value)
		separator = ",\n"
	}
	_, _ = fmt.Fprintln(w, "\n}")
}
