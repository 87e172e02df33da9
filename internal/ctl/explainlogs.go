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

// standardInput is the name of a log that is read from standard input.
const standardInput = "-"

// fromLogs explains a request from the log lines of instances.
func (c *explainCmd) fromLogs(r *run) error {
	collector := logtrace.NewCollector(c.RequestID)
	for _, path := range c.Logs {
		if err := readLog(collector, path); err != nil {
			return err
		}
	}
	story := collector.Story()
	if len(story.Tries) == 0 {
		return errors.Errorf("no line of the logs tells of request %s (%d lines are no log lines); %s", c.RequestID, collector.Skipped, noLine(story))
	}
	return r.print(story, func(w io.Writer) { writeStory(w, story) })
}

// noLine tells what may have become of a request without a line.
func noLine(story logtrace.Story) string {
	if len(story.Deaths) == 0 {
		return "it reached none of these instances"
	}
	var deaths []string
	for _, start := range story.Deaths {
		deaths = append(deaths, start.Instance+" (started again "+start.Time.Format(time.TimeOnly)+")")
	}
	return "it reached none of these instances, or was in flight at one that ended without a word: " + strings.Join(deaths, ", ")
}

func readLog(c *logtrace.Collector, path string) error {
	if path == standardInput {
		return c.Read(os.Stdin, "")
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	defer file.Close()
	return c.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}

func writeStory(w io.Writer, story logtrace.Story) {
	for i, try := range story.Tries {
		fmt.Fprintf(w, "request %s, try %d, at instance %s\n", story.RequestID, i+1, try.Instance)
		for _, line := range try.Lines {
			writeLine(w, "  ", line)
		}
		for _, line := range try.Related {
			writeLine(w, "    before: ", line)
		}
		fmt.Fprintf(w, "  cause: %s\n", try.Cause)
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
