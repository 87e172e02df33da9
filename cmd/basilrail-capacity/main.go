// Command basilrail-capacity measures the resources that an entry instance spends on
// peer traffic, by fleet size, and on backend servers, by their number.
package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basilrail/basilrail/internal/capacity"
)

var flags struct {
	Seed           uint64        `help:"Seed of every random source." default:"1" env:"BASILRAIL_CAPACITY_SEED"`
	Sizes          []int         `help:"Fleets to start." default:"2,4,8,16,32,72" env:"BASILRAIL_CAPACITY_SIZES"`
	Servers        []int         `help:"Numbers of backend servers to put before one instance." default:"100,1000,10000" env:"BASILRAIL_CAPACITY_SERVERS"`
	Duration       time.Duration `help:"How long each fleet is measured." default:"5s" env:"BASILRAIL_CAPACITY_DURATION"`
	BillsPerSecond int           `help:"Bills that each instance records a second." default:"43" env:"BASILRAIL_CAPACITY_BILLS"`
}

func main() {
	parsed := kong.Parse(&flags, kong.Description("Measures bytes and processor time per entry instance, by fleet size."))
	options := capacity.Options{
		Seed: flags.Seed, Sizes: flags.Sizes, Duration: flags.Duration, BillsPerSecond: flags.BillsPerSecond,
	}
	points, err := capacity.Measure(context.Background(), options)
	parsed.FatalIfErrorf(err)
	parsed.FatalIfErrorf(capacity.Print(os.Stdout, options, points))
	parsed.FatalIfErrorf(capacity.PrintServers(os.Stdout, capacity.MeasureServers(flags.Servers, flags.Seed)))
}
