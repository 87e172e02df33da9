// Command basilraild runs an entry instance.
package main

import (
	"os"

	"github.com/basilrail/basilrail/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
