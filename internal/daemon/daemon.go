// Package daemon runs an entry instance as a process: flags, logs, signals and
// exit codes.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilrail/basilrail/internal/entry"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tracing"
	"github.com/basilrail/basilrail/platform"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent lets the heap grow further than by default before a collection: an
// instance holds little between requests and allocates much for each.
const gcPercent = 400

// traceTimeout bounds the sending of the last spans.
const traceTimeout = 2 * time.Second

// dialTimeout bounds the making of a connection.
const dialTimeout = 2 * time.Second

// platformArgument makes the process an instance on the users' platform, which
// hands it a settings file instead of flags.
const platformArgument = "platform"

// Main runs the process until a signal ends it, and returns its exit code.
func Main(args []string, out io.Writer) int {
	if len(args) > 0 && args[0] == platformArgument {
		return platform.Main(args[1:], os.Stdout)
	}
	cfg, err := staticconfig.Parse(args)
	if err != nil {
		fmt.Fprintln(out, err)
		return exitUsage
	}
	if cfg.Check.Value {
		return exitOK
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, cfg, out); err != nil {
		fmt.Fprintln(out, err)
		return exitFailed
	}
	return exitOK
}

func run(ctx context.Context, cfg *staticconfig.Config, out io.Writer) error {
	traces, err := tracing.New(ctx, tracing.Options{
		Instance:      cfg.Instance.Value,
		FailureDomain: cfg.FailureDomain.Value,
		Endpoint:      cfg.OTLPEndpoint.Value,
		Sample:        cfg.TraceSample.Value,
		Requests:      cfg.ExplainRecords.Value,
	})
	if err != nil {
		return err
	}
	defer shutDown(traces)
	dialer := &net.Dialer{Timeout: dialTimeout}
	instance, err := entry.New(entry.Options{
		Config:  cfg,
		Listen:  func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:    dialer.DialContext,
		Log:     events.NewLogger(newLogger(cfg, out)),
		Tracing: traces,
	})
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// shutDown sends the spans that wait; a collector that is slow loses them.
func shutDown(traces *tracing.Tracing) {
	ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
	defer cancel()
	_ = traces.Shutdown(ctx)
}

func newLogger(cfg *staticconfig.Config, out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(cfg.LogLevel.Value)
	if cfg.LogFormat.Value == staticconfig.FormatJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger
}
