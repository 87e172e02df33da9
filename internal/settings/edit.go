package settings

import (
	"bytes"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// yamlIndent is the indentation of edited documents, in spaces.
const yamlIndent = 2

// SetField returns the document's text with one scalar field set; comments and the
// order of fields are preserved. The keys are the path to the field through nested
// mappings, all of which must exist; the field itself may be missing.
func SetField(body []byte, value any, keys ...string) ([]byte, error) {
	root, err := singleNode(body)
	if err != nil {
		return nil, err
	}
	node := root
	for i, key := range keys {
		_, next := child(node, key)
		if next == nil {
			if i < len(keys)-1 || node.Kind != yaml.MappingNode {
				return nil, errors.Errorf("there is no field %q", key)
			}
			next = &yaml.Node{}
			node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, next)
		}
		node = next
	}
	if err := node.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode field")
	}
	return render(root)
}

func render(root *yaml.Node) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(root); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return out.Bytes(), errors.Wrap(encoder.Close(), "encode document")
}
