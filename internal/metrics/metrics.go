// Package metrics holds the metrics of an entry instance and serves them in the
// JSON format of package expvar. Each metric has a name, a unit and a help text;
// docs/METRICS.md is generated from them. A labelled metric keeps a bounded number
// of labels and counts all others under OverflowLabel.
//
// The variables are not published globally: several instances may run in one
// process, and expvar's own handler would expose the command line, including secrets.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// OverflowLabel is the label for values whose own label would exceed the limit.
const OverflowLabel = "other"

// maxLabels is the maximum number of labels of one metric.
const maxLabels = 64

// Kind is the type of a metric.
type Kind string

// The kinds of metric.
const (
	// KindCounter is a value that only increases.
	KindCounter Kind = "counter"
	// KindGauge is a value that is read on each request for the metrics.
	KindGauge Kind = "gauge"
	// KindHistogram is a distribution since the start of the process, served as quantiles.
	KindHistogram Kind = "histogram"
)

// Definition documents one metric.
type Definition struct {
	Name string
	Kind Kind
	Unit string
	// Label is what the labels of the metric stand for; empty for an unlabelled metric.
	Label string
	Help  string
}

// variable is a metric with its value.
type variable struct {
	Definition
	value expvar.Var
}

// Sources are functions that read values held by other components; a nil function reads as zero.
type Sources struct {
	SettingsRevision func() float64
	ServersKnown     func() float64
	ServersDown      func() float64
	ServersDraining  func() float64
	InstancesListed  func() float64
	TokensInFlight   func() float64
	StoreCommits     func() float64
	PeerLinks        func() float64
	PeerBytesSent    func() float64
	PeerBytesRead    func() float64
	PeerDrops        func() float64
	PeerRejects      func() float64
	ServicesCutOff   func() float64
	RelayedStreams   func() float64
	LogLinesDropped  func() float64
	// EvacuatedDomains and EvacuatedRequests concern the failure domains that operators evacuate.
	EvacuatedDomains  func() float64
	EvacuatedRequests func() float64
	// RefusedContents are the contents that are refused because they crash servers.
	RefusedContents func() float64
	// ColdServers are the servers that get few requests since they are cold.
	ColdServers func() float64
	// ServicesShort are the services that are short of capacity.
	ServicesShort func() float64
	// ShareAllowedOut is the largest share of the requests to a service that may leave the failure domain.
	ShareAllowedOut func() float64
}

// Registry holds the metrics of one instance. Its exported fields are
// described in docs/METRICS.md and are safe for concurrent use.
type Registry struct {
	Requests        *Counter
	Refusals        *Counter
	Attempts        *Counter
	AttemptOutcomes *Counter
	Repeats         *Counter
	RepeatsDenied   *Counter
	SentOut         *Counter
	SentOutBytes    *Counter
	InputTokens     *Counter
	OutputTokens    *Counter
	Cost            *Counter
	RequestDuration *Histogram
	QueueWait       *Histogram
	AttemptDuration *Histogram

	started time.Time

	mu        sync.Mutex
	variables []variable
	byName    map[string]bool
}

// New returns a registry with every counter and histogram at zero.
func New(sources Sources) *Registry {
	r := &Registry{byName: make(map[string]bool), started: time.Now()}
	r.Requests = r.counter("requests_total", "requests", "state", "Requests that ended, by the final state of the request's state chart.")
	r.Refusals = r.counter("refusals_total", "requests", "code", "Requests refused or failed, by error code.")
	r.Attempts = r.counter("attempts_total", "attempts", "target", "Attempts, by model@version or service.")
	r.AttemptOutcomes = r.counter("attempt_outcomes_total", "attempts", "outcome", "Attempts, by outcome.")
	r.Repeats = r.counter("repeats_total", "attempts", "service", "Attempts after the first of their request, by service.")
	r.RepeatsDenied = r.counter("repeats_denied_total", "attempts", "service", "Attempts after the first that the retry budget did not allow, by service.")
	r.SentOut = r.counter("sent_out_total", "attempts", "reason", "Attempts sent to another failure domain by the locality policy, by reason.")
	r.SentOutBytes = r.counter("sent_out_bytes_total", "bytes", "reason", "Estimated bytes of these attempts and their answers, by reason.")
	r.InputTokens = r.counter("input_tokens_total", "tokens", "target", "Billed prompt tokens, by model@version.")
	r.OutputTokens = r.counter("output_tokens_total", "tokens", "target", "Billed generated tokens, by model@version.")
	r.Cost = r.counter("cost_micro_units_total", "micro-units", "client account", "Cost billed, by client account.")
	r.RequestDuration = r.histogram("request_duration_us", "Time from a request's arrival to its end.")
	r.QueueWait = r.histogram("queue_wait_us", "Time that an attempt waited in the queue.")
	r.AttemptDuration = r.histogram("attempt_duration_us", "Time of an attempt at a backend server.")
	r.registerSources(sources)
	r.registerProcess()
	return r
}

// registerSources adds the gauges of values held by other components.
func (r *Registry) registerSources(s Sources) {
	r.gauge("settings_revision", "revision", "Revision of the settings in force.", s.SettingsRevision)
	r.gauge("servers_known", "backend servers", "Backend servers of the settings that this instance uses.", s.ServersKnown)
	r.gauge("servers_down", "backend servers", "Known backend servers that failed and have not recovered.", s.ServersDown)
	r.gauge("servers_leaving", "backend servers", "Known backend servers that are draining.", s.ServersDraining)
	r.gauge("entries_listed", "entry instances", "Entry instances on the membership list, this one included.", s.InstancesListed)
	r.gauge("tokens_in_flight", "tokens", "Estimated tokens that this instance has in flight.", s.TokensInFlight)
	r.gauge("store_commits_total", "transactions", "Transactions committed for claims and bills.", s.StoreCommits)
	r.gauge("peer_links", "connections", "Connections to neighbouring entry instances.", s.PeerLinks)
	r.gauge("peer_bytes_sent_total", "bytes", "Bytes sent to other entry instances.", s.PeerBytesSent)
	r.gauge("peer_bytes_received_total", "bytes", "Bytes received from other entry instances.", s.PeerBytesRead)
	r.gauge("peer_drops_total", "messages", "Messages to other entry instances dropped because the send queue was full.", s.PeerDrops)
	r.gauge("log_lines_dropped_total", "lines", "Log lines dropped because the output was too slow or the rate limit was exceeded.", s.LogLinesDropped)
	r.gauge("services_cut_off", "services", "Services of which this instance reaches no backend server over its own links.", s.ServicesCutOff)
	r.gauge("evacuated_domains", "failure domains", "Failure domains that operators evacuate.", s.EvacuatedDomains)
	r.gauge("evacuated_requests", "requests", "Requests of this instance that still run in evacuated failure domains.", s.EvacuatedRequests)
	r.gauge("refused_contents", "contents", "Contents of requests that are refused because servers disconnected while they ran them.", s.RefusedContents)
	r.gauge("cold_servers", "backend servers", "Backend servers to which requests are limited because they are cold, or were until just now.", s.ColdServers)
	r.gauge("services_short", "services", "Services that are short of capacity: a part of their requests is refused at once.", s.ServicesShort)
	r.gauge("share_allowed_out", "fraction", "Largest share of the requests to a service that this instance may send to other failure domains while their target latency is threatened.", s.ShareAllowedOut)
	r.gauge("relayed_streams", "streams", "Connections to backend servers that this instance carries for others.", s.RelayedStreams)
	r.gauge("peer_rejects_total", "messages", "Peer messages and connections refused as malformed or not authenticated.", s.PeerRejects)
}

// registerProcess adds the gauges of the Go runtime and the process.
func (r *Registry) registerProcess() {
	r.gauge("process_uptime_s", "seconds", "Time since the process started.", func() float64 {
		return time.Since(r.started).Seconds()
	})
	r.gauge("process_goroutines", "goroutines", "Number of goroutines.", func() float64 {
		return float64(runtime.NumGoroutine())
	})
	r.gauge("process_heap_bytes", "bytes", "Memory in use on the Go heap.", func() float64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	})
}

// gauge adds a metric whose value is read on each request for the metrics.
func (r *Registry) gauge(name, unit, help string, read func() float64) {
	value := expvar.Func(func() any {
		if read == nil {
			return 0
		}
		return read()
	})
	r.add(Definition{Name: name, Kind: KindGauge, Unit: unit, Help: help}, value)
}

func (r *Registry) counter(name, unit, label, help string) *Counter {
	c := &Counter{}
	r.add(Definition{Name: name, Kind: KindCounter, Unit: unit, Label: label, Help: help}, c)
	return c
}

func (r *Registry) histogram(name, help string) *Histogram {
	h := newHistogram()
	r.add(Definition{Name: name, Kind: KindHistogram, Unit: "microseconds", Help: help}, h)
	return h
}

// add registers a variable. It panics if the name is already in use.
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

// Definitions lists the metrics in registration order.
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
		// A write fails only if the client disconnected, which needs no report.
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, v.Name, v.value)
		separator = ",\n"
	}
	_, _ = fmt.Fprintln(w, "\n}")
}
