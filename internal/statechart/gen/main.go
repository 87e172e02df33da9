// Command gen draws the state charts into a Markdown page, or checks that the
// page is up to date.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/statechart"
)

const pageMode = 0o644

func main() {
	out := flag.String("out", "docs/STATECHARTS.md", "the page")
	check := flag.Bool("check", false, "fail if the page is stale instead of writing it")
	flag.Parse()
	if err := run(*out, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, check bool) error {
	set, err := statechart.Load()
	if err != nil {
		return err
	}
	page := []byte(statechart.Markdown(set.All()))
	if !check {
		return errors.Wrap(os.WriteFile(out, page, pageMode), "write page")
	}
	present, err := os.ReadFile(out)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	if !bytes.Equal(present, page) {
		return errors.Errorf("%s is stale: run make generate", out)
	}
	return nil
}
