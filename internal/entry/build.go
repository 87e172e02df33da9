package entry

import (
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/claim"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/explain"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/membership"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/modelcommands"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/mesh"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/rating"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/serverwatch"
	"github.com/basilrail/basilrail/internal/session"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/commitrelay"
	"github.com/basilrail/basilrail/internal/tablestore/groupcommit"
	"github.com/basilrail/basilrail/internal/tablestore/httptable"
	"github.com/basilrail/basilrail/internal/tlsreload"
)

const (
	// fleetCommitsPerSecond limits the table service writes that claims and bills
	// of the whole fleet may use.
	fleetCommitsPerSecond = 300.0
	// subsetSize is the number of servers per model that an instance uses.
	subsetSize = 16
	// maxAnswerBytes limits the size of a complete answer of a backend server.
	maxAnswerBytes = 16 << 20
	// idleConnsPerServer is the maximum number of idle connections per backend server.
	idleConnsPerServer = 64
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 30 * time.Second
)

// New assembles an instance; Run starts it.
func New(o Options) (*Instance, error) {
	charts, err := statechart.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load state charts")
	}
	i := &Instance{opts: o, cfg: o.Config, log: o.Log, charts: charts, aborted: make(chan struct{})}
	i.seeds = newSeedSource(o.Seed, o.Config.Instance.Value)
	if err := i.buildMesh(); err != nil {
		return nil, err
	}
	if err := i.buildState(tracedBus{Bus: i.mesh, tracer: o.Tracing.Tracer()}); err != nil {
		return nil, err
	}
	if err := i.buildServerTransport(); err != nil {
		return nil, err
	}
	i.buildControllers(i.mesh)
	i.metrics = metrics.New(i.metricSources())
	if err := i.buildGateway(); err != nil {
		return nil, err
	}
	return i, nil
}

// transport returns a new HTTP transport that connects with Options.Dial, for TLS with
// dialTLS unless that is nil. Run closes its idle connections at the end.
func (i *Instance) transport(dialTLS tlsreload.DialFunc) *httpanswer.Transport {
	transport := httpanswer.NewTransport(&http.Transport{
		DialContext:         i.opts.Dial,
		DialTLSContext:      dialTLS,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	i.transports = append(i.transports, transport)
	return transport
}

// buildMesh sets up the peer mesh to the other instances.
func (i *Instance) buildMesh() error {
	peerFiles, err := i.reloader(i.peerFiles())
	if err != nil {
		return errors.Wrap(err, "load peer certificates")
	}
	dial := i.opts.Dial
	if peerFiles != nil {
		dial = peerFiles.Dialer(dial)
	}
	i.mesh = mesh.New(mesh.Config{
		Self:   i.cfg.Instance.Value,
		Secret: i.cfg.PeerSecret.Value,
		Dial:   dial,
		Rand:   i.newRand(),
		Log:    i.log,
	})
	return nil
}

// setPeers passes the other instances of the membership list to the mesh.
func (i *Instance) setPeers(v *membership.View) {
	var others []peers.Peer
	for _, m := range v.Instances {
		if m.ID != i.cfg.Instance.Value {
			others = append(others, peers.Peer{ID: m.ID, FailureDomain: m.FailureDomain, Address: m.Address})
		}
	}
	i.mesh.SetPeers(others)
}

// buildState builds the components that read or write the platform's services.
func (i *Instance) buildState(bus peers.Bus) error {
	transport, err := i.clientTransport(i.cfg.PlatformTLS)
	if err != nil {
		return errors.Wrap(err, "load platform certificates")
	}
	i.platform = httptable.New(&http.Client{Transport: transport}, i.cfg.PlatformURL.Value.String(), 0)
	i.members = membership.New(i.platform, tablestore.Member{
		ID:            i.cfg.Instance.Value,
		Kind:          tablestore.MemberEntry,
		Address:       i.cfg.AdvertisePeers.Value.String(),
		FailureDomain: i.cfg.FailureDomain.Value,
	}, i.newRand(), i.log)
	i.data = datastore.New(datastore.WithSubset(i.cfg.Instance.Value, subsetSize))
	i.syncer = configsync.New(configsync.Options{
		Table:         i.platform,
		Bus:           bus,
		FailureDomain: i.cfg.FailureDomain.Value,
		Rand:          i.newRand(),
		Log:           i.log,
		OnChange:      i.applySettings,
	})
	i.relay = commitrelay.New(bus, fleetCommitsPerSecond)
	i.committer = groupcommit.New(i.platform, i.relay.Budget)
	i.relay.SetLocal(i.committer)
	i.members.OnRead(i.setInstances)
	tracer := i.opts.Tracing.Tracer()
	i.claims = claim.New(tracedCommitter{i.relay, tracer}, tracedReader{i.platform, tracer}, i.log)
	i.ledger = billing.New(billing.Config{
		Bus:           bus,
		FailureDomain: i.cfg.FailureDomain.Value,
		Committer:     tracedCommitter{i.committer, tracer},
		Scanner:       i.platform,
		Log:           i.log,
	})
	return nil
}

// setInstances passes the listed instances to the relay, which selects those that
// commit for the others.
func (i *Instance) setInstances(v *membership.View) {
	ids := make([]string, 0, len(v.Instances))
	for _, m := range v.Instances {
		ids = append(ids, m.ID)
	}
	i.relay.SetInstances(ids)
}

// applySettings activates a settings revision on the data path.
func (i *Instance) applySettings(s *settings.Snapshot) {
	i.data.SetSettings(s)
	i.planner.RemoveStaleVersions(s)
}

// buildControllers builds server monitoring, engine commands, explain records,
// quarantine, rollouts, admission and the cascade planner.
func (i *Instance) buildControllers(bus peers.Bus) {
	i.watcher = serverwatch.New(serverwatch.Options{
		Store:  i.data,
		Client: &http.Client{Transport: i.serverTransport},
		Bus:    bus,
		Chart:  i.charts.Server,
		Rand:   i.newRand(),
		Logger: i.log,
	})
	i.commands = modelcommands.New(modelcommands.Options{
		Table:     i.platform,
		Store:     i.data,
		Client:    &http.Client{Transport: i.serverTransport},
		Self:      i.cfg.Instance.Value,
		FleetSize: func() int { return i.members.View().InstanceCount() },
		Rand:      i.newRand(),
		Logger:    i.log,
	})
	i.members.OnRead(i.setPeers)
	i.members.OnRead(func(v *membership.View) { i.watcher.SetMembers(v.Servers) })
	i.explain = explain.New(bus, i.opts.Tracing.Recorder(), i.cfg.ExplainRecords.Value)
	i.suspects = quarantine.New(quarantine.Options{Bus: bus, Table: i.platform, Rand: i.newRand(), Logger: i.log})
	i.rollouts = rollout.New(rollout.Options{
		Bus:      bus,
		Applier:  applier{i.syncer},
		Settings: i.syncer.Snapshot,
		Chart:    i.charts.Rollout,
		Rand:     i.newRand(),
		Logger:   i.log,
	})
	i.admission = flowcontrol.New()
	i.windows = newWindows(bus, i.data, i.admission)
	i.planner = cascade.NewPlanner(cascade.NewLearner(), cascade.NewBudget(float64(i.cfg.RatingRate.Value)))
	i.ratingSync = newRatingSync(bus, i.planner, i.cfg.RatingRate.Value)
}

func (i *Instance) buildGateway() error {
	secret := sha256.Sum256(i.cfg.TokenSecret.Value)
	keyring, err := session.NewKeyring(secret[:], i.cfg.SessionLifetime.Value)
	if err != nil {
		return errors.Wrap(err, "create session keyring")
	}
	i.lifecycle = newLifecycle(i.charts, i.syncer, i.log)
	i.backend = backend.NewClient(i.serverTransport, maxAnswerBytes)
	i.gateway = gateway.New(gateway.Options{
		Data:          i.data,
		Backend:       i.backend,
		Ready:         i.lifecycle,
		Tokens:        keyring,
		Versions:      i.rollouts,
		Planner:       i.planner,
		Admission:     i.admission,
		Suspects:      suspectTracker{Quarantine: i.suspects, servers: i.watcher},
		Retries:       retry.New(i.newRand()),
		Servers:       i.watcher,
		Claims:        i.claims,
		Bills:         i.ledger,
		Rater:         rating.New(&http.Client{Transport: i.transport(nil)}, i.ratingURL()),
		Charts:        i.charts,
		Records:       countingRecordSink{metrics: i.metrics, next: i.explain},
		Log:           i.log,
		Tracer:        i.opts.Tracing.Tracer(),
		Rand:          i.newRand(),
		StreamTime:    i.cfg.StreamTime.Value,
		WriteTimeout:  i.cfg.WriteTimeout.Value,
		Connections:   i.cfg.ConnectionsPerAccount.Value,
		BodyBytes:     i.cfg.BodyBytes.Value,
		FailureDomain: i.cfg.FailureDomain.Value,
	})
	return nil
}

func (i *Instance) ratingURL() string {
	if i.cfg.RatingURL.Value == nil {
		return ""
	}
	return i.cfg.RatingURL.Value.String()
}
