package statechart

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Markdown renders charts as one Markdown page with a mermaid diagram and a table
// of events for each. The output is deterministic.
func Markdown(charts []*Chart) string {
	var b strings.Builder
	b.WriteString("# State charts\n\n")
	b.WriteString("Generated from internal/statechart/charts by `make generate`; do not edit.\n")
	for _, c := range charts {
		fmt.Fprintf(&b, "\n## %s\n\n", c.name)
		c.writeDiagram(&b)
		c.writeEventTable(&b)
	}
	return b.String()
}

func (c *Chart) writeDiagram(b *strings.Builder) {
	b.WriteString("```mermaid\nstateDiagram-v2\n")
	fmt.Fprintf(b, "    [*] --> %s\n", c.start)
	for _, state := range c.States() {
		def := c.states[state]
		for _, event := range slices.Sorted(maps.Keys(def.On)) {
			fmt.Fprintf(b, "    %s --> %s: %s\n", state, def.On[event], event)
		}
		if def.Final {
			fmt.Fprintf(b, "    %s --> [*]\n", state)
		}
	}
	b.WriteString("```\n\n")
}

func (c *Chart) writeEventTable(b *strings.Builder) {
	b.WriteString("| event | meaning |\n| --- | --- |\n")
	for _, event := range c.Events() {
		fmt.Fprintf(b, "| `%s` | %s |\n", event, c.events[event])
	}
}
