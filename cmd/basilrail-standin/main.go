// Command basilrail-standin runs small stand-ins for the platform, the model
// engines, the rating service and a booking service, one subcommand for each role.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/basilrail/basilrail/internal/standin/command"
)

func main() {
	var cli command.CLI
	ctx := kong.Parse(&cli, command.Options()...)
	ctx.FatalIfErrorf(ctx.Run())
}
