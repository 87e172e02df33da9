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
	// nodes caches the YAML nodes of documents that have findings.
	nodes map[string]*yaml.Node
}

// decoded is the decoded form of one document. It is immutable.
type decoded struct {
	body []byte
	// value is nil if the text is not a YAML mapping.
	value    any
	findings findings.List
}

// Parse decodes and validates a complete set of documents. It returns all findings
// together; the tree is usable only if there are none. An empty set of documents
// gives an empty, valid tree.
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

// Parse is like the function Parse, but reuses unchanged documents.
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

// add adds a document to the tree. cached is its decoded form from the last call,
// or nil.
func (p *parser) add(doc Document, cached *decoded) {
	loc := locate(doc.Path)
	if loc.kind == kindUnknown {
		p.findings.Add(doc.Path, "no document belongs at this path")
		return
	}
	if _, duplicate := p.docs[doc.Path]; duplicate {
		p.findings.Add(doc.Path, "the document is given twice")
		return
	}
	if cached == nil || !bytes.Equal(cached.body, doc.Body) {
		cached = decodeDocument(doc, loc.kind)
	}
	p.docs[doc.Path] = cached
	p.findings = append(p.findings, cached.findings...)
	p.store(cached.value, loc)
}

// decodeDocument decodes one document without checks against other documents.
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

func (p *parser) store(value any, loc location) {
	switch v := value.(type) {
	case Fleet:
		p.tree.Fleet = v
	case Model:
		p.tree.Models[loc.name] = v
	case Service:
		p.tree.Services[loc.name] = v
	case Server:
		p.tree.Servers[loc.name] = v
	case Team:
		p.tree.Teams[loc.name] = v
	case Account:
		putInTeam(p.tree.Accounts, loc, v)
	case Rollout:
		putInTeam(p.tree.Rollouts, loc, v)
	}
}

func putInTeam[T any](byTeam map[string]map[string]T, loc location, value T) {
	if byTeam[loc.team] == nil {
		byTeam[loc.team] = make(map[string]T)
	}
	byTeam[loc.team][loc.name] = value
}

// has reports whether there is a document at the path. A mapping with findings
// counts, so that it is not reported again at every reference to it.
func (p *parser) has(path string) bool {
	doc := p.docs[path]
	return doc != nil && doc.value != nil
}

// node parses a document's YAML again to find line numbers, which is needed only
// for documents with findings.
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

// addFinding adds a finding at the line of a field. The keys are the path to the
// field: names in mappings and indexes in lists.
func (p *parser) addFinding(path string, keys []string, format string, args ...any) {
	line := 0
	if node := p.node(path); node != nil {
		line = lineOf(node, keys)
	}
	p.findings.AddAt(path, line, format, args...)
}

// lineOf returns the line of the field, or of its closest existing parent.
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

// child returns the key and value nodes of a mapping's entry, or a list's item as
// both. The nodes are nil if there is none.
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

// fieldPath returns the path of a field as a list of keys; a key may contain dots.
func fieldPath(keys ...string) []string { return keys }

func index(i int) string { return strconv.Itoa(i) }

// quoted returns the names quoted and separated by commas.
func quoted(names []string) string {
	quotedNames := make([]string, len(names))
	for i, name := range names {
		quotedNames[i] = strconv.Quote(name)
	}
	return strings.Join(quotedNames, ", ")
}
