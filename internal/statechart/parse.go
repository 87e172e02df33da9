package statechart

import (
	"bytes"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/findings"
)

// document is the YAML form of a chart.
type document struct {
	Name   string             `yaml:"name"`
	Start  State              `yaml:"start"`
	Events map[Event]string   `yaml:"events"`
	States map[State]stateDef `yaml:"states"`
}

// stateDef is one state: either its transitions or Final is set.
type stateDef struct {
	On    map[Event]State `yaml:"on"`
	Final bool            `yaml:"final"`
}

// Parse decodes and validates a chart. The error is a findings.List with all
// findings; place is the file's name.
func Parse(place string, text []byte) (*Chart, error) {
	var doc document
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&doc); err != nil {
		return nil, findings.List{{Place: place, Problem: err.Error()}}
	}
	if err := check(place, doc); err != nil {
		return nil, err
	}
	return &Chart{name: doc.Name, start: doc.Start, states: doc.States, events: doc.Events}, nil
}

func check(place string, doc document) error {
	var list findings.List
	if doc.Name == "" {
		list.Add(place, "the chart has no name")
	}
	if _, ok := doc.States[doc.Start]; !ok {
		list.Add(place, "the start state %q is not defined", doc.Start)
	}
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		checkState(&list, place, doc, name)
	}
	checkEventsUsed(&list, place, doc)
	checkReachable(&list, place, doc)
	checkFinalReachable(&list, place, doc)
	return list.Err()
}

// checkState reports a final state with transitions, another state without any, and
// transitions with undefined events or target states.
func checkState(list *findings.List, place string, doc document, name State) {
	def := doc.States[name]
	switch {
	case def.Final && len(def.On) > 0:
		list.Add(place, "the final state %q has transitions", name)
	case !def.Final && len(def.On) == 0:
		list.Add(place, "the state %q is not final and has no transition", name)
	}
	for _, event := range slices.Sorted(maps.Keys(def.On)) {
		if _, ok := doc.Events[event]; !ok {
			list.Add(place, "the state %q accepts the undefined event %q", name, event)
		}
		if _, ok := doc.States[def.On[event]]; !ok {
			list.Add(place, "the state %q leads to the undefined state %q", name, def.On[event])
		}
	}
}

func checkEventsUsed(list *findings.List, place string, doc document) {
	used := make(map[Event]bool)
	for _, def := range doc.States {
		for event := range def.On {
			used[event] = true
		}
	}
	for _, event := range slices.Sorted(maps.Keys(doc.Events)) {
		if !used[event] {
			list.Add(place, "no state accepts the event %q", event)
		}
	}
}

func checkReachable(list *findings.List, place string, doc document) {
	reached := reachable(doc, doc.Start)
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		if !reached[name] {
			list.Add(place, "the state %q can't be reached from the start state", name)
		}
	}
}

// checkFinalReachable reports states from which no final state can be reached.
func checkFinalReachable(list *findings.List, place string, doc document) {
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		reachesFinal := false
		for state := range reachable(doc, name) {
			reachesFinal = reachesFinal || doc.States[state].Final
		}
		if !reachesFinal {
			list.Add(place, "no final state can be reached from the state %q", name)
		}
	}
}

// reachable returns the state and all states that can be reached from it.
func reachable(doc document, from State) map[State]bool {
	reached := map[State]bool{from: true}
	queue := []State{from}
	for len(queue) > 0 {
		def := doc.States[queue[0]]
		queue = queue[1:]
		for _, next := range def.On {
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return reached
}
