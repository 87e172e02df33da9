// Command basilrail-measure prints how the decisions do against their baselines.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/basilrail/basilrail/internal/measure"
)

var flags struct {
	Seed   uint64   `help:"Seed of every random source." default:"1" env:"BASILRAIL_MEASURE_SEED"`
	Only   []string `help:"Measures to run, separated by commas; all without it." env:"BASILRAIL_MEASURE_ONLY"`
	Strict bool     `help:"Exit with status 1 if a row is short of its target." env:"BASILRAIL_MEASURE_STRICT"`
	List   bool     `help:"List the measures and exit." env:"BASILRAIL_MEASURE_LIST"`
}

func main() {
	ctx := kong.Parse(&flags, kong.Description("Runs the decisions against plain baselines and prints a row for each measure."))
	if flags.List {
		for _, name := range measure.Names() {
			fmt.Println(name)
		}
		return
	}
	short, err := measure.Run(os.Stdout, flags.Seed, flags.Only)
	ctx.FatalIfErrorf(err)
	if flags.Strict && short > 0 {
		os.Exit(1)
	}
}
