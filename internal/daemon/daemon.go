// Package daemon runs an entry instance as a process: it handles flags, logging,
// signals and exit codes.
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

// gcPercent is above the default of 100 to collect less often: an instance has a
// small live heap and allocates much for each request.
const gcPercent = 400

// traceFlushTimeout limits the export of the last spans at shutdown.
const traceFlushTimeout = 2 * time.Second

// dialTimeout limits the time to establish a connection.
const dialTimeout = 2 * time.Second

// platformArgument, as the first argument, runs the process as an instance on the
// users' platform, which passes it a settings file instead of flags.
const platformArgument = "platform"

// Main runs the process until a signal ends it, and returns its exit code.
func Main(args []string, out io.Writer) int {
	// By default a write to standard output without a reader ends the process. Log lines are
	// dropped instead.
	signal.Ignore(syscall.SIGPIPE)
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
	defer flushTraces(traces)
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

// flushTraces exports the pending spans; they are lost if the collector does not
// accept them within traceFlushTimeout.
func flushTraces(traces *tracing.Tracing) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
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
