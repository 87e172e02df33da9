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
	// observeInterval is the time between two looks at whether the settings are current.
	observeInterval = 200 * time.Millisecond
	// closeTimeout bounds the handing over of claims and bills after the last request.
	closeTimeout = 30 * time.Second
)

// Run serves until the context ends and then leaves gracefully: it finishes
// every request in flight, hands over its bills and returns.
func (i *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer i.closeConnections()
	defer i.loops.Wait()
	defer stop()
	if err := i.open(work); err != nil {
		return err
	}
	i.startLoops(work)
	i.log.Log(events.ProcessStarted, events.Fields{})
	select {
	case <-ctx.Done():
		i.leave(work)
	case <-i.aborted:
		i.closeServers()
	}
	return nil
}

// abort ends Run without a graceful shutdown, as the death of the process would.
func (i *Instance) abort() { close(i.aborted) }

// closeConnections closes the idle connections to the platform and the servers.
func (i *Instance) closeConnections() {
	for _, transport := range i.transports {
		transport.CloseIdleConnections()
	}
}

// open starts the listeners.
func (i *Instance) open(ctx context.Context) error {
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

// peerFiles are the certificate and authorities of both ends of peer connections.
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
		// Serve always returns an error; after a shutdown it says so.
		_ = server.Serve(listener)
	})
	return nil
}

func (i *Instance) closeServers() {
	for _, server := range i.servers {
		// Closing a listener that is closed already is no fault.
		_ = server.Close()
	}
}

// shutDownServers lets the last answers reach their callers: a request counts
// as finished when its handler returns, before its last bytes are sent.
func (i *Instance) shutDownServers(ctx context.Context) {
	for _, server := range i.servers {
		// What is left after the context's end is closed below.
		_ = server.Shutdown(ctx)
	}
	i.closeServers()
}

// startLoops starts everything that works in the background.
func (i *Instance) startLoops(ctx context.Context) {
	i.goLoop(ctx, i.members.Run)
	i.goLoop(ctx, i.mesh.Run)
	i.goLoop(ctx, i.syncer.Run)
	i.goLoop(ctx, i.commits.Run)
	i.goLoop(ctx, i.claims.Run)
	i.goLoop(ctx, i.ledger.Run)
	i.goLoop(ctx, i.suspects.Run)
	i.goLoop(ctx, i.rollouts.Run)
	i.goLoop(ctx, i.watcher.Run)
	i.goLoop(ctx, i.windows.Run)
	i.goLoop(ctx, i.orders.Run)
	i.goLoop(ctx, i.learning.Run)
	i.goLoop(ctx, func(ctx context.Context) { wait.Every(ctx, observeInterval, i.life.observe) })
}

// leave finishes the requests in flight and hands over what is not stored yet.
func (i *Instance) leave(ctx context.Context) {
	i.life.fire(statechart.EntryShutdown)
	i.log.Log(events.ProcessDraining, events.Fields{})
	// A list that can't be reached forgets the instance by itself.
	_ = i.members.SetLeaving(ctx)
	// Nothing ends this context while the instance leaves.
	_ = wait.For(ctx, i.cfg.DrainWait.Value)
	i.life.closed.Store(true)
	i.finishRequests(ctx)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	i.claims.Close(ctx)
	i.ledger.Close(ctx)
	_ = i.members.Deregister(ctx)
	i.shutDownServers(ctx)
	i.life.fire(statechart.EntryDrained)
	i.log.Log(events.ProcessStopped, events.Fields{})
}

// finishRequests waits for the requests in flight, at most for the drain time.
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
