package statechart

import (
	"embed"
	"path"

	"github.com/basilrail/basilrail/internal/findings"
)

//go:generate go run ../docsgen -root ../..

//go:embed charts/*.yaml
var files embed.FS

// Set holds the program's charts.
type Set struct {
	Request *Chart
	Rollout *Chart
	Entry   *Chart
	Server  *Chart
	Upgrade *Chart
	Path    *Chart
}

// Load parses all embedded charts. The error is a findings.List with the findings
// of all files.
func Load() (*Set, error) {
	var list findings.List
	set := &Set{
		Request: load(&list, "request"),
		Rollout: load(&list, "rollout"),
		Entry:   load(&list, "entry"),
		Server:  load(&list, "server"),
		Upgrade: load(&list, "upgrade"),
		Path:    load(&list, "serverpath"),
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

// All returns the charts in the order of the documentation.
func (s *Set) All() []*Chart {
	return []*Chart{s.Request, s.Rollout, s.Entry, s.Server, s.Upgrade, s.Path}
}

func load(list *findings.List, name string) *Chart {
	file := path.Join("charts", name+".yaml")
	text, err := files.ReadFile(file)
	if err != nil {
		list.Add(file, "%s", err)
		return nil
	}
	chart, err := Parse(file, text)
	if err != nil {
		*list = append(*list, err.(findings.List)...)
	}
	return chart
}
