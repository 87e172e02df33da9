package ctl

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/platformcheck"
	"github.com/basilrail/basilrail/platform"
)

// checkPlatformName is the name of the subcommand on the command line.
const checkPlatformName = "check-platform"

// Exit codes of check-platform. They differ from those of the other subcommands: scripts tell warnings from errors by them.
const (
	platformClean    = 0
	platformWarnings = 1
	platformErrors   = 2
	// platformUnreadable means that nothing was checked: a file can't be read, the configuration in force can't be decoded, or the
	// command line is invalid.
	platformUnreadable = 3
)

type checkPlatformCmd struct {
	File     string `arg:"" type:"path" help:"Configuration to send (JSON)."`
	InForce  string `type:"path" placeholder:"FILE" help:"Configuration in force, to tell what changes."`
	Settings string `type:"path" placeholder:"FILE" help:"Settings file of an instance (TOML), for the limits that depend on it."`
	JSON     bool   `name:"json" help:"Print JSON, as --output=json does."`
}

// platformResult is the JSON form of a check.
type platformResult struct {
	File string `json:"file"`
	platformcheck.Report
	ExitCode int `json:"exit_code"`
}

// exitCode runs the check, prints its result and returns the exit code.
func (c *checkPlatformCmd) exitCode(p printer, errOut io.Writer) int {
	p.json = p.json || c.JSON
	report, err := c.report()
	if err != nil {
		if p.json {
			err = printer{out: errOut, json: true}.print(failureBody{Error: failure{Message: err.Error(), ExitCode: platformUnreadable}}, nil)
		}
		if err != nil {
			fmt.Fprintf(errOut, "basilrailctl: %v\n", err)
		}
		return platformUnreadable
	}
	result := platformResult{File: c.File, Report: report, ExitCode: platformExitCode(report)}
	if err := p.print(result, result.write); err != nil {
		fmt.Fprintf(errOut, "basilrailctl: print the result: %v\n", err)
		return platformUnreadable
	}
	return result.ExitCode
}

func platformExitCode(report platformcheck.Report) int {
	switch {
	case len(report.Errors) > 0:
		return platformErrors
	case len(report.Warnings) > 0:
		return platformWarnings
	}
	return platformClean
}

// report checks the files. The error says which one can't be read.
func (c *checkPlatformCmd) report() (platformcheck.Report, error) {
	// Scripts get empty lists instead of null.
	report := platformcheck.Report{Errors: findings.List{}, Warnings: findings.List{}, Changes: findings.List{}}
	next, faults, err := platform.ReadConfiguration(c.File)
	if err != nil {
		return report, err
	}
	report.Errors = append(report.Errors, faults...)
	var settings *platformcheck.Settings
	if c.Settings != "" {
		if settings, faults, err = platform.CheckedSettings(c.Settings); err != nil {
			return report, err
		}
		report.Errors = append(report.Errors, faults...)
	}
	inForce, err := c.inForce()
	if err != nil || next == nil {
		return report, err
	}
	checked := platformcheck.Check(next, settings)
	report.Errors = append(report.Errors, checked.Errors...)
	report.Warnings = append(report.Warnings, checked.Warnings...)
	if inForce != nil {
		report.Compare(inForce, next)
	}
	return report, nil
}

// inForce reads the configuration in force; nil if none is given. Its own faults are of no concern unless it can't be decoded.
func (c *checkPlatformCmd) inForce() (*platformcheck.Document, error) {
	if c.InForce == "" {
		return nil, nil
	}
	doc, faults, err := platform.ReadConfiguration(c.InForce)
	if err != nil {
		return nil, err
	}
	if doc == nil {
		return nil, errors.Wrapf(faults, "the configuration in force, %s, can't be decoded", c.InForce)
	}
	return doc, nil
}

// write prints the result for people.
func (r *platformResult) write(w io.Writer) {
	for _, section := range []struct {
		title string
		list  findings.List
	}{{"errors", r.Errors}, {"warnings", r.Warnings}, {"changes from the configuration in force", r.Changes}} {
		if len(section.list) == 0 {
			continue
		}
		fmt.Fprintf(w, "%s:\n", section.title)
		for _, finding := range section.list {
			fmt.Fprintf(w, "  %s\n", finding)
		}
	}
	fmt.Fprintf(w, "%s: %d errors, %d warnings, %d changes\n", r.File, len(r.Errors), len(r.Warnings), len(r.Changes))
}
