package events

import (
	"fmt"
	"strings"
)

//go:generate go run ../docsgen -root ../..

// areas are the titles of the areas, indexed by the thousands digit of the event numbers.
var areas = [...]string{
	1: "Settings", 2: "Requests", 3: "Claims and bills", 4: "Peers and membership",
	5: "Rollouts and versions", 6: "Backend servers", 7: "Process",
}

// numbersPerArea is the size of an area's number range.
const numbersPerArea = 1000

// Markdown renders the catalogue as a Markdown page.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nGenerated from `internal/events` by `make generate`; do not edit.\n\n" +
		"Each log line carries the number as `event` and the name as `name`, and those of the following fields that apply:\n" +
		"`client_account`, `request_id`, `attempt_id`, `backend_server`, `version`, `peer`, `path`, `revision`,\n" +
		"`count`, `duration_ms` (milliseconds), `reason` and `error`. No line contains a prompt, an answer, a key or a token.\n")
	area := 0
	for _, e := range All() {
		if e.Number/numbersPerArea != area {
			area = e.Number / numbersPerArea
			fmt.Fprintf(&b, "\n## %s\n\n| Number | Name | Level | Meaning | What to do |\n|---|---|---|---|---|\n", areas[area])
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, cell(e.Message), cell(e.Action))
	}
	return b.String()
}

// cell escapes a text for a table cell; an empty text becomes "nothing".
func cell(text string) string {
	if text == "" {
		return "nothing"
	}
	return strings.ReplaceAll(text, "|", "\\|")
}
