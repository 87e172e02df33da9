// Package command implements the command line of basilrail-standin.
package command

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/standin/booking"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/standin/rater"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 10 * time.Second
)

// CLI is the command line, with one subcommand per role.
type CLI struct {
	Platform PlatformCmd `cmd:"" help:"Run the platform: table service and membership list."`
	Servers  ServersCmd  `cmd:"" help:"Run a stand-in for each backend server of a settings directory."`
	Engine   EngineCmd   `cmd:"" help:"Run a model engine."`
	Rater    RaterCmd    `cmd:"" help:"Run the service that rates answers."`
	Booking  BookingCmd  `cmd:"" help:"Run a booking service whose calls must not be repeated."`
	Caller   CallerCmd   `cmd:"" help:"Send requests as callers do."`
}

// Options returns kong's options for the command line.
func Options() []kong.Option {
	return []kong.Option{
		kong.Name("basilrail-standin"),
		kong.Description("Stand-ins for the systems around basilrail, for tests and demonstrations."),
		kong.UsageOnError(),
	}
}

// EngineCmd runs a model engine.
type EngineCmd struct {
	Listen       string             `default:"127.0.0.1:9101" help:"Address to listen on, ip:port."`
	Instance     string             `default:"engine-1" help:"Name of the backend server."`
	Versions     []string           `help:"Versions loaded at the start, each model@version."`
	TokenTime    time.Duration      `default:"5ms" help:"Time per generated token, a duration."`
	FirstToken   time.Duration      `default:"20ms" help:"Time before the first token, a duration."`
	Capacity     int                `default:"16" help:"Number of requests run at once."`
	Queue        int                `default:"64" help:"Number of requests that may wait."`
	LoadTime     time.Duration      `default:"200ms" help:"Time to load a version, a duration."`
	Fencing      bool               `help:"Refuse orders that carry an old fencing number."`
	Resumes      bool               `help:"Resume cut streams."`
	Unacceptable map[string]float64 `help:"Fraction of prompts a version is too weak for, as model@version=0.3."`
}

// Run serves until SIGINT or SIGTERM.
func (c *EngineCmd) Run() error {
	e := engine.New(engine.Config{
		Instance:             c.Instance,
		Versions:             c.Versions,
		TimePerToken:         c.TokenTime,
		TimeToFirstToken:     c.FirstToken,
		Capacity:             c.Capacity,
		Queue:                c.Queue,
		LoadTime:             c.LoadTime,
		ChecksFencing:        c.Fencing,
		ResumesStreams:       c.Resumes,
		UnacceptableFraction: c.Unacceptable,
	})
	return serve(c.Listen, e.Handler())
}

// RaterCmd runs the rating service.
type RaterCmd struct {
	Listen    string        `default:"127.0.0.1:9002" help:"Address to listen on, ip:port."`
	PerSecond float64       `default:"200" help:"Ratings a second; 0 for no limit."`
	Time      time.Duration `default:"5ms" help:"Time per rating, a duration."`
}

// Run serves until SIGINT or SIGTERM.
func (c *RaterCmd) Run() error {
	return serve(c.Listen, rater.New(rater.Config{PerSecond: c.PerSecond, Time: c.Time}).Handler())
}

// BookingCmd runs a booking service.
type BookingCmd struct {
	Listen      string        `default:"127.0.0.1:9301" help:"Address to listen on, ip:port."`
	Instance    string        `default:"booking-1" help:"Name of the backend server."`
	HonoursKeys bool          `help:"Answer a repeated Idempotency-Key with the first booking."`
	Time        time.Duration `default:"10ms" help:"Time per call, a duration."`
}

// Run serves until SIGINT or SIGTERM.
func (c *BookingCmd) Run() error {
	s := booking.New(booking.Config{Instance: c.Instance, HonoursKeys: c.HonoursKeys, Time: c.Time})
	return serve(c.Listen, s.Handler())
}

// serve runs a handler until SIGINT or SIGTERM, and then waits up to
// shutdownTimeout for requests in flight.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve on %s", address)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdownCtx), "shut down server")
}
