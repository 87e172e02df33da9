package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/basilrail/basilrail/internal/admin"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tlsreload"
	"github.com/basilrail/basilrail/internal/wait"
	"github.com/go-chi/chi/v5"
)

const (
	// settingsCheckInterval is the interval between checks that the settings are current.
	settingsCheckInterval = 200 * time.Millisecond
	// closeTimeout limits the time to store or transfer claims and bills after the
	// last request.
	closeTimeout = 30 * time.Second
)

// Run serves until the context ends and then shuts down gracefully: it waits for
// the requests in flight, at most for the drain timeout, stores or transfers its
// bills, and returns.
func (i *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer i.closeConnections()
	defer i.loops.Wait()
	defer stop()
	if err := i.startServers(work); err != nil {
		return err
	}
	i.startLoops(work)
	i.log.Log(events.ProcessStarted, events.Fields{})
	select {
	case <-ctx.Done():
		i.shutDown(work)
	case <-i.aborted:
		i.closeServers()
	}
	return nil
}

// abort ends Run without a graceful shutdown, like a crash of the process.
func (i *Instance) abort() { close(i.aborted) }

// closeConnections closes the idle connections of all HTTP transports.
func (i *Instance) closeConnections() {
	for _, transport := range i.transports {
		transport.CloseIdleConnections()
	}
}

// startServers starts the servers for operators, peers and callers.
func (i *Instance) startServers(ctx context.Context) error {
	operators := chi.NewRouter()
	i.mountHealth(operators)
	operators.Method(http.MethodGet, metricsPath, i.metrics)
	operators.Mount("/", admin.New(admin.Options{
		Settings:           i.syncer,
		Rollouts:           rolloutEvidence{i.rollouts},
		Explainer:          i.explain,
		Bills:              billLister{billing.NewReader(i.platform)},
		Log:                i.log,
		BootstrapKeySHA256: i.cfg.BootstrapKeySHA256.Value,
	}))
	listeners := []struct {
		address string
		files   tlsreload.Files
		handler http.Handler
	}{
		{i.cfg.ListenOperators.Value.String(), serverFiles(i.cfg.OperatorsTLS), operators},
		{i.cfg.ListenPeers.Value.String(), i.peerFiles(), i.mesh.Handler()},
		{i.cfg.ListenCallers.Value.String(), serverFiles(i.cfg.CallersTLS), i.gateway.Handler()},
	}
	for _, l := range listeners {
		if err := i.serve(ctx, l.address, l.files, l.handler); err != nil {
			i.closeServers()
			return err
		}
	}
	return nil
}

// peerFiles returns the certificate, key and authorities for peer connections,
// used by both ends.
func (i *Instance) peerFiles() tlsreload.Files {
	c := i.cfg.PeersTLS
	return tlsreload.Files{Cert: c.Cert.Value, Key: c.Key.Value, CA: c.CA.Value}
}

func serverFiles(c staticconfig.ServerTLS) tlsreload.Files {
	return tlsreload.Files{Cert: c.Cert.Value, Key: c.Key.Value}
}

func (i *Instance) serve(ctx context.Context, address string, files tlsreload.Files, handler http.Handler) error {
	listener, err := i.listen(address, files)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: i.cfg.HeaderTimeout.Value,
		ReadTimeout:       i.cfg.BodyTimeout.Value,
		IdleTimeout:       i.cfg.IdleTimeout.Value,
		MaxHeaderBytes:    int(i.cfg.HeaderBytes.Value),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	i.servers = append(i.servers, server)
	i.loops.Go(func() {
		// Serve always returns an error, http.ErrServerClosed after a shutdown.
		_ = server.Serve(listener)
	})
	return nil
}

func (i *Instance) closeServers() {
	for _, server := range i.servers {
		// Closing a listener that is already closed returns an error, which is ignored.
		_ = server.Close()
	}
}

// shutDownServers waits until the last answers are sent: a request counts as
// finished when its handler returns, which is before its last bytes are sent.
func (i *Instance) shutDownServers(ctx context.Context) {
	for _, server := range i.servers {
		// Connections still open when the context ends are closed below.
		_ = server.Shutdown(ctx)
	}
	i.closeServers()
}

// startLoops starts the background loops of all components.
func (i *Instance) startLoops(ctx context.Context) {
	i.goLoop(ctx, i.members.Run)
	i.goLoop(ctx, i.mesh.Run)
	i.goLoop(ctx, i.syncer.Run)
	i.goLoop(ctx, i.committer.Run)
	i.goLoop(ctx, i.claims.Run)
	i.goLoop(ctx, i.ledger.Run)
	i.goLoop(ctx, i.suspects.Run)
	i.goLoop(ctx, i.rollouts.Run)
	i.goLoop(ctx, i.watcher.Run)
	i.goLoop(ctx, i.windows.Run)
	i.goLoop(ctx, i.commands.Run)
	i.goLoop(ctx, i.ratingSync.Run)
	i.goLoop(ctx, func(ctx context.Context) { wait.Every(ctx, settingsCheckInterval, i.lifecycle.checkSettings) })
}

// shutDown drains the requests in flight, then stores or transfers the claims and
// bills that are not stored yet.
func (i *Instance) shutDown(ctx context.Context) {
	i.lifecycle.fire(statechart.EntryShutdown)
	i.log.Log(events.ProcessDraining, events.Fields{})
	// If the membership list is unreachable, the instance's entry expires there.
	_ = i.members.SetDraining(ctx)
	// The context does not end during the shutdown, so For returns no error.
	_ = wait.For(ctx, i.cfg.DrainWait.Value)
	i.lifecycle.closed.Store(true)
	i.finishRequests(ctx)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	i.claims.Close(ctx)
	i.ledger.Close(ctx)
	_ = i.members.Deregister(ctx)
	i.shutDownServers(ctx)
	i.lifecycle.fire(statechart.EntryDrained)
	i.log.Log(events.ProcessStopped, events.Fields{})
}

// finishRequests waits for the requests in flight, at most for the drain timeout.
func (i *Instance) finishRequests(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		i.gateway.Wait()
		close(done)
	}()
	timer := time.NewTimer(i.cfg.DrainTimeout.Value)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		i.log.Log(events.ProcessDrainTimeout, events.Fields{})
	case <-ctx.Done():
	}
}
