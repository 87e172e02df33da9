package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/logtrace"
)

// standardInput is the file name that selects standard input.
const standardInput = "-"

// fromLogs explains a request from the log lines of instances.
func (c *explainCmd) fromLogs(r *run) error {
	collector := logtrace.NewCollector(c.RequestID)
	for _, path := range c.Logs {
		if err := readLog(collector, path); err != nil {
			return err
		}
	}
	timeline := collector.Timeline()
	if len(timeline.Attempts) == 0 {
		return errors.Errorf("no log line mentions request %s (skipped %d lines that are not log lines); %s", c.RequestID, collector.Skipped, explainMissing(timeline))
	}
	return r.print(timeline, func(w io.Writer) { writeTimeline(w, timeline) })
}

// explainMissing lists the possible reasons why the logs hold no line of a request.
func explainMissing(timeline logtrace.Timeline) string {
	if len(timeline.UnexpectedRestarts) == 0 {
		return "it reached none of these instances"
	}
	var restarts []string
	for _, start := range timeline.UnexpectedRestarts {
		restarts = append(restarts, start.Instance+" (restarted "+start.Time.Format(time.TimeOnly)+")")
	}
	return "it reached none of these instances, or was in flight on one that ended without logging an exit: " + strings.Join(restarts, ", ")
}

func readLog(c *logtrace.Collector, path string) error {
	if path == standardInput {
		return c.Read(os.Stdin, "")
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return c.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}

func writeTimeline(w io.Writer, timeline logtrace.Timeline) {
	for i, attempt := range timeline.Attempts {
		fmt.Fprintf(w, "request %s, attempt %d, at instance %s\n", timeline.RequestID, i+1, attempt.Instance)
		for _, line := range attempt.Lines {
			writeLine(w, "  ", line)
		}
		for _, line := range attempt.Related {
			writeLine(w, "    before: ", line)
		}
		fmt.Fprintf(w, "  cause: %s\n", attempt.Cause)
	}
}

func writeLine(w io.Writer, indent string, l logtrace.Line) {
	fmt.Fprintf(w, "%s%s %s", indent, l.Time.Format(time.TimeOnly+".000"), l.Name)
	text := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, " %s=%q", name, value)
		}
	}
	number := func(name string, value int64) {
		if value != 0 {
			fmt.Fprintf(w, " %s=%d", name, value)
		}
	}
	text("backend_server", l.Server)
	text("version", l.Version)
	text("model", l.Model)
	text("path", l.Path)
	text("peer", l.Peer)
	text("reason", l.Reason)
	text("outcome", l.Outcome)
	number("status", int64(l.Status))
	number("count", int64(l.Count))
	number("revision", int64(l.Revision))
	number("age_ms", l.AgeMS)
	number("duration_ms", l.DurationMS)
	number("latency_ms", l.LatencyMS)
	number("retry_after_ms", l.RetryMS)
	if l.Load != 0 {
		fmt.Fprintf(w, " load=%.2f", l.Load)
	}
	text("error", l.Error)
	fmt.Fprintln(w)
}
