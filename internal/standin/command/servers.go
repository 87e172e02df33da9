package command

import (
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/booking"
	"github.com/basilrail/basilrail/internal/standin/engine"
)

// ServersCmd runs stand-ins for all backend servers of a settings directory in
// one process.
type ServersCmd struct {
	Dir          string             `arg:"" type:"existingdir" help:"Directory of the settings."`
	TokenTime    time.Duration      `default:"5ms" help:"Time per generated token, a duration."`
	FirstToken   time.Duration      `default:"20ms" help:"Time before the first token, a duration."`
	Unacceptable map[string]float64 `help:"Fraction of prompts a version is too weak for, as model@version=0.3."`
}

// Run serves until SIGINT or SIGTERM. If a server fails, Run returns its error
// once all servers have stopped.
func (c *ServersCmd) Run() error {
	docs, list := settings.Load(os.DirFS(c.Dir))
	if err := list.Err(); err != nil {
		return err
	}
	tree, list := settings.Parse(docs)
	if err := list.Err(); err != nil {
		return err
	}
	var servers errgroup.Group
	for id, server := range tree.Servers {
		servers.Go(func() error { return serve(server.Address, c.handler(id, server, tree)) })
	}
	return servers.Wait()
}

func (c *ServersCmd) handler(id string, server settings.Server, tree settings.Tree) http.Handler {
	if server.Service != "" {
		return booking.New(booking.Config{Instance: id, HonoursKeys: server.Traits.HonoursKeys}).Handler()
	}
	return engine.New(engine.Config{
		Instance:             id,
		Versions:             versionsOf(server, tree),
		TimePerToken:         c.TokenTime,
		TimeToFirstToken:     c.FirstToken,
		Capacity:             server.Capacity,
		ChecksFencing:        server.Traits.ChecksFencing,
		ResumesStreams:       server.Traits.ResumesStreams,
		UnacceptableFraction: c.Unacceptable,
	}).Handler()
}

// versionsOf returns all versions of the models that a server may load.
func versionsOf(server settings.Server, tree settings.Tree) []string {
	var versions []string
	for _, model := range server.Models {
		for version := range tree.Models[model].Versions {
			versions = append(versions, settings.VersionRef{Model: model, Version: version}.String())
		}
	}
	return versions
}
