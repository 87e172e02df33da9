package settings

import (
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/findings"
)

// parser builds a Tree and keeps the nodes, so that checks can name lines.
type parser struct {
	tree     Tree
	nodes    map[string]*yaml.Node
	findings findings.List
}

// Parse reads and checks a whole set of documents. It returns every finding at
// once; the tree may be used only if there are none. No documents at all make
// an empty, valid tree.
func Parse(docs []Document) (Tree, findings.List) {
	p := newParser()
	for _, doc := range docs {
		p.add(doc)
	}
	if len(docs) > 0 {
		p.check()
	}
	return p.tree, p.findings
}

func newParser() *parser {
	return &parser{
		nodes: make(map[string]*yaml.Node),
		tree: Tree{
			Models:   make(map[string]Model),
			Services: make(map[string]Service),
			Servers:  make(map[string]Server),
			Teams:    make(map[string]Team),
			Accounts: make(map[string]map[string]Account),
			Rollouts: make(map[string]map[string]Rollout),
		},
	}
}

func (p *parser) add(doc Document) {
	at := locate(doc.Path)
	if at.kind == kindUnknown {
		p.findings.Add(doc.Path, "no document belongs at this path")
		return
	}
	if _, twice := p.nodes[doc.Path]; twice {
		p.findings.Add(doc.Path, "the document is given twice")
		return
	}
	node, list := parseYAML(doc)
	p.findings = append(p.findings, list...)
	if node == nil {
		return
	}
	p.nodes[doc.Path] = node
	p.store(doc.Path, node, at)
}

func (p *parser) store(path string, node *yaml.Node, at location) {
	switch at.kind {
	case kindFleet:
		p.tree.Fleet = decodeAs[Fleet](p, path, node)
	case kindModel:
		p.tree.Models[at.name] = decodeAs[Model](p, path, node)
	case kindService:
		p.tree.Services[at.name] = decodeAs[Service](p, path, node)
	case kindServer:
		p.tree.Servers[at.name] = decodeAs[Server](p, path, node)
	case kindTeam:
		p.tree.Teams[at.name] = decodeAs[Team](p, path, node)
	case kindAccount:
		putInTeam(p.tree.Accounts, at, decodeAs[Account](p, path, node))
	case kindRollout:
		putInTeam(p.tree.Rollouts, at, decodeAs[Rollout](p, path, node))
	}
}

func decodeAs[T any](p *parser, path string, node *yaml.Node) T {
	var value T
	d := decoder{path: path, findings: &p.findings}
	d.decode(node, reflect.ValueOf(&value).Elem(), "", 0)
	return value
}

func putInTeam[T any](byTeam map[string]map[string]T, at location, value T) {
	if byTeam[at.team] == nil {
		byTeam[at.team] = make(map[string]T)
	}
	byTeam[at.team][at.name] = value
}

// fault adds a finding at the line of a field. The keys lead to it through
// mappings by name and through lists by index.
func (p *parser) fault(path string, keys []string, format string, args ...any) {
	line := 0
	if node := p.nodes[path]; node != nil {
		line = lineOf(node, keys)
	}
	p.findings.AddAt(path, line, format, args...)
}

// lineOf follows the keys as far as they lead.
func lineOf(node *yaml.Node, keys []string) int {
	line := node.Line
	for _, key := range keys {
		keyNode, value := child(node, key)
		if value == nil {
			return line
		}
		line = keyNode.Line
		node = value
	}
	return line
}

// child finds a mapping's value, or a list's item, and the node that names it.
func child(node *yaml.Node, key string) (name, value *yaml.Node) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i], node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(key)
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index], node.Content[index]
		}
	}
	return nil, nil
}

// at splits a dotted field name into keys; names with dots are passed whole.
func at(keys ...string) []string { return keys }

func index(i int) string { return strconv.Itoa(i) }

// quoted joins names for a finding.
func quoted(names []string) string {
	quotedNames := make([]string, len(names))
	for i, name := range names {
		quotedNames[i] = strconv.Quote(name)
	}
	return strings.Join(quotedNames, ", ")
}
