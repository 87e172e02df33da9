package settings

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/findings"
)

// MaxDocumentBytes is the maximum size of one document's YAML text.
const MaxDocumentBytes = 256 << 10

// maxYAMLDepth limits nesting, so that a malicious document can't exhaust the stack.
const maxYAMLDepth = 32

var durationType = reflect.TypeFor[time.Duration]()

// decoder decodes YAML nodes into typed values and collects all findings.
type decoder struct {
	path     string
	findings *findings.List
}

// parseYAML parses a document, which must be a single YAML mapping. The node is
// nil if there are findings.
func parseYAML(doc Document) (*yaml.Node, findings.List) {
	var list findings.List
	if len(doc.Body) > MaxDocumentBytes {
		list.Add(doc.Path, "the document has %d bytes; at most %d are allowed", len(doc.Body), MaxDocumentBytes)
		return nil, list
	}
	node, err := singleNode(doc.Body)
	if err != nil {
		list.Add(doc.Path, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return nil, list
	}
	if node.Kind != yaml.MappingNode {
		list.AddAt(doc.Path, node.Line, "the document must be a mapping")
		return nil, list
	}
	return node, nil
}

func singleNode(body []byte) (*yaml.Node, error) {
	reader := yaml.NewDecoder(bytes.NewReader(body))
	var root yaml.Node
	if err := reader.Decode(&root); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the document is empty")
		}
		return nil, err
	}
	var next yaml.Node
	if err := reader.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, errors.New("the file must hold exactly one YAML document")
	}
	if len(root.Content) != 1 {
		return nil, errors.New("the document is empty")
	}
	return root.Content[0], nil
}

func (d *decoder) addFinding(node *yaml.Node, format string, args ...any) {
	d.findings.AddAt(d.path, node.Line, format, args...)
}

// decode decodes the node into target, which must be settable. field is the
// dotted field name used in findings.
func (d *decoder) decode(node *yaml.Node, target reflect.Value, field string, depth int) {
	if depth > maxYAMLDepth {
		d.addFinding(node, "%s is nested too deeply", field)
		return
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.addFinding(node, "%s uses a YAML anchor or alias, which settings don't allow", field)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, target, field, depth)
	case reflect.Map:
		d.decodeMap(node, target, field, depth)
	case reflect.Slice:
		d.decodeSlice(node, target, field, depth)
	default:
		d.decodeScalar(node, target, field)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, target reflect.Value, field string, depth int) {
	fields := fieldsByName(target.Type())
	d.eachPair(node, field, func(key, value *yaml.Node) {
		index, ok := fields[key.Value]
		if !ok {
			d.addFinding(key, "unknown field %q%s", joinField(field, key.Value), suggest(key.Value, fields))
			return
		}
		d.decode(value, target.Field(index), joinField(field, key.Value), depth+1)
	})
}

func (d *decoder) decodeMap(node *yaml.Node, target reflect.Value, field string, depth int) {
	out := reflect.MakeMap(target.Type())
	d.eachPair(node, field, func(key, value *yaml.Node) {
		if !validName(key.Value) {
			d.addFinding(key, "%s: %q is not a name (%s)", field, key.Value, nameRule)
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(value, element, joinField(field, key.Value), depth+1)
		out.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
	target.Set(out)
}

// eachPair calls visit for each entry of a mapping. It reports a node that is not
// a mapping, keys that are not scalars and duplicate keys.
func (d *decoder) eachPair(node *yaml.Node, field string, visit func(key, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		d.addFinding(node, "%s must be a mapping, not %s", orDocument(field), describe(node))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			d.addFinding(key, "%s: a key must be plain text", orDocument(field))
			continue
		}
		if line, duplicate := seen[key.Value]; duplicate {
			d.addFinding(key, "%q stands twice, first on line %d", joinField(field, key.Value), line)
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value)
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, target reflect.Value, field string, depth int) {
	if node.Kind != yaml.SequenceNode {
		d.addFinding(node, "%s must be a list, not %s", field, describe(node))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(item, out.Index(i), fmt.Sprintf("%s[%d]", field, i), depth+1)
	}
	target.Set(out)
}

func (d *decoder) decodeScalar(node *yaml.Node, target reflect.Value, field string) {
	if node.Kind != yaml.ScalarNode {
		d.addFinding(node, "%s must be %s, not %s", field, expectedType(target), describe(node))
		return
	}
	if target.Type() == durationType {
		d.decodeDuration(node, target, field)
		return
	}
	if target.Kind() == reflect.String && node.Tag != "!!str" {
		d.addFinding(node, "%s must be text, not %s; put it in quotes", field, describe(node))
		return
	}
	if node.Tag == "!!null" || node.Decode(target.Addr().Interface()) != nil {
		d.addFinding(node, "%s must be %s, not %s", field, expectedType(target), describe(node))
	}
}

func (d *decoder) decodeDuration(node *yaml.Node, target reflect.Value, field string) {
	value, err := time.ParseDuration(node.Value)
	if err != nil {
		d.addFinding(node, "%s must be a duration with a unit, such as 30s, not %q", field, node.Value)
		return
	}
	target.SetInt(int64(value))
}

// fieldsByName maps the YAML names of the fields of a struct to their indexes.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	return fields
}

// suggest returns a hint with a known field whose name differs from the unknown one
// only in case, hyphens, underscores or a final "s"; empty if there is none.
func suggest(unknown string, fields map[string]int) string {
	for name := range fields {
		if normalizeName(name) == normalizeName(unknown) {
			return fmt.Sprintf("; did you mean %q?", name)
		}
	}
	return ""
}

func normalizeName(name string) string {
	name = strings.ToLower(strings.ReplaceAll(name, "-", "_"))
	return strings.TrimSuffix(strings.ReplaceAll(name, "_", ""), "s")
}

func joinField(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func orDocument(field string) string {
	if field == "" {
		return "the document"
	}
	return field
}

func expectedType(target reflect.Value) string {
	switch target.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}

func describe(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.MappingNode:
		return "a mapping"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case node.Tag == "!!null":
		return "nothing"
	default:
		return fmt.Sprintf("%q", node.Value)
	}
}
