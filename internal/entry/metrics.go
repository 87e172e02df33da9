package entry

import (
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/metrics"
)

// metricsPath is the path of the metrics on the operators' address. It needs no
// key: the only data about client accounts is their cost.
const metricsPath = "/metrics"

// countingRecordSink updates the request metrics and forwards each record to next.
type countingRecordSink struct {
	metrics *metrics.Registry
	next    gateway.RecordSink
}

// Add counts a finished request and forwards its record.
func (c countingRecordSink) Add(r *gateway.Record) {
	c.metrics.Requests.Add(string(r.State), 1)
	c.metrics.RequestDuration.Record(r.Duration)
	if r.Refusal != nil {
		c.metrics.Refusals.Add(string(r.Refusal.Code), 1)
	}
	for _, attempt := range r.Attempts {
		c.metrics.Attempts.Add(attempt.Target, 1)
		c.metrics.AttemptOutcomes.Add(attempt.Outcome, 1)
		c.metrics.QueueWait.Record(attempt.Queued)
		c.metrics.AttemptDuration.Record(attempt.Duration)
	}
	if r.Bill != nil {
		c.addBill(r.Bill)
	}
	c.next.Add(r)
}

func (c countingRecordSink) addBill(bill *billing.Record) {
	c.metrics.Cost.Add(string(bill.Account), int64(bill.Total))
	for _, line := range bill.Lines {
		c.metrics.InputTokens.Add(line.Target, int64(line.InputTokens))
		c.metrics.OutputTokens.Add(line.Target, int64(line.OutputTokens))
	}
}

// metricSources returns the functions that read metrics from the components.
func (i *Instance) metricSources() metrics.Sources {
	return metrics.Sources{
		SettingsRevision: func() float64 { return float64(i.data.Snapshot().Settings.Revision) },
		ServersKnown:     func() float64 { return float64(len(i.data.Snapshot().Watched())) },
		ServersDown:      i.countServers(func(s *datastore.Server) bool { return s.Status().Down }),
		ServersDraining:  i.countServers(func(s *datastore.Server) bool { return s.Status().Draining }),
		InstancesListed:  func() float64 { return float64(i.members.View().InstanceCount()) },
		TokensInFlight:   i.tokensInFlight,
		StoreCommits:     func() float64 { return float64(i.committer.Counts().Commits) },
		PeerLinks:        func() float64 { return float64(i.mesh.Stats().Links) },
		PeerBytesSent:    func() float64 { sent, _ := i.peerBytes(); return sent },
		PeerBytesRead:    func() float64 { _, read := i.peerBytes(); return read },
		PeerDrops:        func() float64 { return float64(i.mesh.Stats().Dropped) },
		PeerRejects:      func() float64 { return float64(i.mesh.Stats().Rejected) },
	}
}

func (i *Instance) countServers(matches func(*datastore.Server) bool) func() float64 {
	return func() float64 {
		count := 0
		for _, server := range i.data.Snapshot().Watched() {
			if matches(server) {
				count++
			}
		}
		return float64(count)
	}
}

func (i *Instance) tokensInFlight() float64 {
	var sum int64
	for _, server := range i.data.Snapshot().Watched() {
		_, tokens := server.InFlight()
		sum += tokens
	}
	return float64(sum)
}

func (i *Instance) peerBytes() (sent, received float64) {
	for _, traffic := range i.mesh.Stats().Kinds {
		sent += float64(traffic.SentBytes)
		received += float64(traffic.ReceivedBytes)
	}
	return sent, received
}
