package settings

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// document is a parsed settings file with the line of each key.
type document struct {
	path string
	// lines maps each key in the file to its line.
	lines map[string]int
}

// parseDocument parses data and checks its syntax and the name and type of each
// key. path is used in errors.
func parseDocument(path string, data []byte) (*document, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	d := &document{path: path, lines: make(map[string]int)}
	if len(file.Docs) > 1 {
		return nil, &Error{File: path, Line: file.Docs[1].GetToken().Position.Line, Problem: "a second document", Allowed: "one document"}
	}
	for _, doc := range file.Docs {
		if err := d.walk("", doc.Body); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func syntaxError(path string, err error) error {
	result := &Error{File: path, Line: 1, Problem: err.Error(), Allowed: "YAML"}
	var located yaml.Error
	if errors.As(err, &located) {
		result.Line = located.GetToken().Position.Line
		result.Problem = located.GetMessage()
	}
	return result
}

// walk records and checks the keys of the mapping at prefix.
func (d *document) walk(prefix string, node ast.Node) error {
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
		return nil
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		return d.errorAt(node, strings.TrimSuffix(prefix, "."), "wrong type", string(KindMapping))
	}
	for _, entry := range entries {
		if err := d.checkEntry(prefix, entry); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) checkEntry(prefix string, entry *ast.MappingValueNode) error {
	path := prefix + entry.Key.GetToken().Value
	d.lines[path] = entry.Key.GetToken().Position.Line
	key, known := findKey(path)
	if !known {
		return d.errorAt(entry.Key, path, "unknown key", childNames(strings.TrimSuffix(prefix, ".")))
	}
	if key.Kind == KindMapping {
		return d.walk(path+".", entry.Value)
	}
	if !isOfKind(entry.Value, key.Kind) {
		return d.errorAt(entry.Key, path, "wrong type", string(key.Kind))
	}
	return nil
}

func isOfKind(node ast.Node, kind Kind) bool {
	switch n := node.(type) {
	case *ast.NullNode:
		return true
	case *ast.StringNode:
		if kind == KindDuration {
			_, err := time.ParseDuration(n.Value)
			return err == nil
		}
		return kind == KindText
	case *ast.LiteralNode:
		return kind == KindText
	case *ast.IntegerNode:
		return kind == KindNumber
	case *ast.BoolNode:
		return kind == KindBool
	}
	return false
}

func (d *document) errorAt(node ast.Node, key, problem, allowed string) error {
	return &Error{File: d.path, Line: node.GetToken().Position.Line, Key: key, Problem: problem, Allowed: allowed}
}

// lineOf returns the line of a key or of its nearest parent in the file, or 1.
func (d *document) lineOf(key string) int {
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 1
		}
		key = key[:i]
	}
}

func (d *document) has(key string) bool {
	_, ok := d.lines[key]
	return ok
}
