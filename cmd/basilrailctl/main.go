// Command basilrailctl reads and changes the settings of a basilrail fleet.
package main

import (
	"context"
	"os"

	"github.com/basilrail/basilrail/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
