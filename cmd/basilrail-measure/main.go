// Command basilrail-measure compares the routing decisions with simple baselines
// and prints a table of measures.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basilrail/basilrail/internal/measure"
)

// relayFlags are the flags of the bare relay, the baseline for throughput.
type relayFlags struct {
	Listen string `help:"Address to listen on; ip:port." default:"127.0.0.1:8900"`
	Server string `help:"Server that requests are sent on to; a URL." default:"http://127.0.0.1:9101"`
}

// Run serves until the process ends.
func (f *relayFlags) Run() error {
	server := &http.Server{Addr: f.Listen, Handler: measure.NewRelay(f.Server), ReadHeaderTimeout: 5 * time.Second}
	return server.ListenAndServe()
}

// rowsFlags are the flags of the command that prints the table of measures.
type rowsFlags struct {
	Seed   uint64             `help:"Seed of every random source." default:"1" env:"BASILRAIL_MEASURE_SEED"`
	Only   []string           `help:"Measures to run, separated by commas; all without it." env:"BASILRAIL_MEASURE_ONLY"`
	Strict bool               `help:"Exit with status 1 if a row is short of its target." env:"BASILRAIL_MEASURE_STRICT"`
	Path   measure.PathConfig `embed:"" prefix:"path-"`
	List   bool               `help:"List the measures and exit." env:"BASILRAIL_MEASURE_LIST"`
}

// Run prints the table, or the names of the measures.
func (f *rowsFlags) Run() error {
	if f.List {
		for _, name := range measure.Names() {
			fmt.Println(name)
		}
		return nil
	}
	measure.Path = f.Path
	missed, err := measure.Run(os.Stdout, f.Seed, f.Only)
	if err == nil && f.Strict && missed > 0 {
		os.Exit(1)
	}
	return err
}

var flags struct {
	Rows  rowsFlags  `cmd:"" default:"withargs" help:"Print a row for each measure."`
	Relay relayFlags `cmd:"" help:"Run the bare relay that the throughput is compared with."`
}

func main() {
	ctx := kong.Parse(&flags, kong.Description("Runs the decisions against plain baselines and prints a row for each measure."))
	ctx.FatalIfErrorf(ctx.Run())
}
