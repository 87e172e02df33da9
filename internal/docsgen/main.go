// Command docsgen writes the pages that are generated from the code, or checks
// that they are up to date.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/statechart"
)

const pageMode = 0o644

// page is a generated file; its path is relative to the root of the repository.
type page struct {
	path string
	text string
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	check := flag.Bool("check", false, "fail if a page is stale instead of writing it")
	flag.Parse()
	if err := run(*root, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(root string, check bool) error {
	all, err := pages()
	if err != nil {
		return err
	}
	if check {
		return checkPages(root, all)
	}
	for _, p := range all {
		if err := os.WriteFile(filepath.Join(root, p.path), []byte(p.text), pageMode); err != nil {
			return errors.Wrap(err, "write page")
		}
	}
	return nil
}

func pages() ([]page, error) {
	charts, err := statechart.Load()
	if err != nil {
		return nil, err
	}
	return []page{
		{path: "docs/EVENTS.md", text: events.Markdown()},
		{path: "docs/METRICS.md", text: metrics.Markdown(metrics.New(metrics.Sources{}).Definitions())},
		{path: "docs/STATECHARTS.md", text: statechart.Markdown(charts.All())},
	}, nil
}

// checkPages reports every page that is missing or stale.
func checkPages(root string, all []page) error {
	var stale findings.List
	for _, p := range all {
		current, err := os.ReadFile(filepath.Join(root, p.path))
		if err != nil || !bytes.Equal(current, []byte(p.text)) {
			stale.Add(p.path, "is stale: run make generate")
		}
	}
	return stale.Err()
}
