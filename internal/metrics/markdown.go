package metrics

import (
	"fmt"
	"strings"
)

//go:generate go run ../docsgen -root ../..

// Markdown renders the definitions of a registry as a Markdown page.
func Markdown(definitions []Definition) string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nGenerated from `internal/metrics` by `make generate`; do not edit.\n\n" +
		"`GET /metrics` on the operators' address returns one JSON document in the format of package expvar.\n" +
		"A counter is an object that maps labels to numbers; after " + fmt.Sprint(maxLabels) + " labels further ones are counted as `" + OverflowLabel + "`.\n" +
		"A histogram is an object of `count`, `mean`, `p50`, `p95`, `p99` and `max` since the process started.\n\n" +
		"| Name | Kind | Unit | By | Meaning |\n|---|---|---|---|---|\n")
	for _, d := range definitions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Label, d.Help)
	}
	return b.String()
}
