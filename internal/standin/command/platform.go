package command

import "github.com/basilrail/basilrail/internal/standin/platformserver"

// PlatformCmd runs the stand-in for the platform.
type PlatformCmd struct {
	Listen string `default:"127.0.0.1:9001" help:"Address to listen on, ip:port."`
}

// Run serves until SIGINT or SIGTERM.
func (c *PlatformCmd) Run() error {
	return serve(c.Listen, platformserver.New().Handler())
}
