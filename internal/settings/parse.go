package settings

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/findings"
)

// parser builds a Tree from decoded documents and checks it.
type parser struct {
	tree     Tree
	docs     map[string]*decoded
	findings findings.List
	// nodes are the YAML nodes of the documents that have findings.
	nodes map[string]*yaml.Node
}

// decoded is one document's typed value. It never changes.
type decoded struct {
	body []byte
	// value is nil if the text is no YAML mapping.
	value    any
	findings findings.List
}

// Parse reads and checks a whole set of documents. It returns every finding at
// once; the tree may be used only if there are none. No documents at all make
// an empty, valid tree.
func Parse(docs []Document) (Tree, findings.List) {
	return new(Cache).Parse(docs)
}

// Cache parses successive sets of documents, and decodes only those whose text
// changed since the last call. The zero value is ready to use. It is safe for
// concurrent use.
type Cache struct {
	mu   sync.Mutex
	docs map[string]*decoded
}

// Parse does what the function Parse does.
func (c *Cache) Parse(docs []Document) (Tree, findings.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := newParser(len(docs))
	for _, doc := range docs {
		p.add(doc, c.docs[doc.Path])
	}
	c.docs = p.docs
	if len(docs) > 0 {
		p.check()
	}
	return p.tree, p.findings
}

func newParser(size int) *parser {
	return &parser{
		docs:  make(map[string]*decoded, size),
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

// add puts a document into the tree; known is its form at the last call, or nil.
func (p *parser) add(doc Document, known *decoded) {
	at := locate(doc.Path)
	if at.kind == kindUnknown {
		p.findings.Add(doc.Path, "no document belongs at this path")
		return
	}
	if _, twice := p.docs[doc.Path]; twice {
		p.findings.Add(doc.Path, "the document is given twice")
		return
	}
	if known == nil || !bytes.Equal(known.body, doc.Body) {
		known = decodeDocument(doc, at.kind)
	}
	p.docs[doc.Path] = known
	p.findings = append(p.findings, known.findings...)
	p.store(known.value, at)
}

// decodeDocument reads one document by itself.
func decodeDocument(doc Document, kind documentKind) *decoded {
	node, list := parseYAML(doc)
	result := &decoded{body: doc.Body, findings: list}
	if node == nil {
		return result
	}
	target := reflect.New(documentTypes[kind]).Elem()
	d := decoder{path: doc.Path, findings: &result.findings}
	d.decode(node, target, "", 0)
	result.value = target.Interface()
	return result
}

var documentTypes = map[documentKind]reflect.Type{
	kindFleet:   reflect.TypeFor[Fleet](),
	kindModel:   reflect.TypeFor[Model](),
	kindService: reflect.TypeFor[Service](),
	kindServer:  reflect.TypeFor[Server](),
	kindTeam:    reflect.TypeFor[Team](),
	kindAccount: reflect.TypeFor[Account](),
	kindRollout: reflect.TypeFor[Rollout](),
}

func (p *parser) store(value any, at location) {
	switch v := value.(type) {
	case Fleet:
		p.tree.Fleet = v
	case Model:
		p.tree.Models[at.name] = v
	case Service:
		p.tree.Services[at.name] = v
	case Server:
		p.tree.Servers[at.name] = v
	case Team:
		p.tree.Teams[at.name] = v
	case Account:
		putInTeam(p.tree.Accounts, at, v)
	case Rollout:
		putInTeam(p.tree.Rollouts, at, v)
	}
}

func putInTeam[T any](byTeam map[string]map[string]T, at location, value T) {
	if byTeam[at.team] == nil {
		byTeam[at.team] = make(map[string]T)
	}
	byTeam[at.team][at.name] = value
}

// has reports whether a document stands at the path, even a faulty one, so that
// one fault is not told again at every reference to it.
func (p *parser) has(path string) bool {
	doc := p.docs[path]
	return doc != nil && doc.value != nil
}

// node reads a document's YAML again, which only documents with findings need.
func (p *parser) node(path string) *yaml.Node {
	if node, ok := p.nodes[path]; ok {
		return node
	}
	var node *yaml.Node
	if doc := p.docs[path]; doc != nil {
		node, _ = parseYAML(Document{Path: path, Body: doc.body})
	}
	p.nodes[path] = node
	return node
}

// fault adds a finding at the line of a field. The keys lead to it through
// mappings by name and through lists by index.
func (p *parser) fault(path string, keys []string, format string, args ...any) {
	line := 0
	if node := p.node(path); node != nil {
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
