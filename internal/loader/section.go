package loader

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// section is one YAML mapping. Reading a key marks it as known, and
// reportUnknownKeys reports the keys that were not read.
type section struct {
	position Position
	// name is the full key of the section, "" for the top level.
	name         string
	keyPositions map[string]Position
	values       map[string]ast.Node
	// valueFiles holds for each value the file or the flag that it comes from.
	valueFiles     map[string]string
	knownKeys      map[string]bool
	applyOverrides func(*section)
	problems       *problems
}

// maxFileBytes bounds the size of a file, because the parser takes time quadratic
// in the depth of nesting.
const maxFileBytes = 64 << 10

// parse returns the bodies of the YAML documents in a file.
func parse(file string, content []byte, p *problems) []ast.Node {
	if len(content) > maxFileBytes {
		p.add(Position{File: file}, Unreadable, fmt.Sprintf("the file has %d bytes", len(content)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return nil
	}
	tree, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.add(errorPosition(file, err), BadSyntax, errorMessage(err), "well-formed YAML")
		return nil
	}
	var bodies []ast.Node
	for _, d := range tree.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	return bodies
}

func errorPosition(file string, err error) Position {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil && located.GetToken().Position != nil {
		tokenPosition := located.GetToken().Position
		return Position{File: file, Line: tokenPosition.Line, Column: tokenPosition.Column}
	}
	return Position{File: file}
}

func errorMessage(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return located.GetMessage()
	}
	return err.Error()
}

func nodePosition(file string, node ast.Node) Position {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return Position{File: file, Line: t.Position.Line, Column: t.Position.Column}
	}
	return Position{File: file}
}

// newSection returns the mapping at a node. A node of another type is reported
// and treated as an empty mapping. applyOverrides replaces values of the section,
// and is nil if there are no overrides.
func newSection(file, name string, node ast.Node, p *problems, applyOverrides func(*section)) *section {
	s := emptySection(nodePosition(file, node), name, p, applyOverrides)
	mapping, ok := node.(ast.MapNode)
	if !ok {
		p.add(s.position, WrongType, name, "a mapping of keys to values")
		return s
	}
	for entries := mapping.MapRange(); entries.Next(); {
		s.addEntry(file, entries.KeyValue())
	}
	if firstPosition := s.firstKeyPosition(); firstPosition.Line > 0 {
		s.position = firstPosition
	}
	if applyOverrides != nil {
		applyOverrides(s)
	}
	return s
}

func emptySection(sectionPosition Position, name string, p *problems, applyOverrides func(*section)) *section {
	return &section{
		position: sectionPosition, name: name, problems: p, applyOverrides: applyOverrides,
		keyPositions: make(map[string]Position), values: make(map[string]ast.Node),
		valueFiles: make(map[string]string), knownKeys: make(map[string]bool),
	}
}

func (s *section) addEntry(file string, entry *ast.MappingValueNode) {
	keyPosition := nodePosition(file, entry.Key)
	key := entry.Key.GetToken().Value
	if entry.Key.IsMergeKey() {
		s.problems.add(keyPosition, BadValue, "merge key", "plain keys only")
		return
	}
	if _, exists := s.values[key]; exists {
		s.problems.add(keyPosition, Duplicate, "key "+s.fullKey(key), "each key once")
		return
	}
	s.setValue(key, keyPosition, file, entry.Value)
}

func (s *section) firstKeyPosition() Position {
	firstPosition := Position{}
	for _, keyPosition := range s.keyPositions {
		if firstPosition.Line == 0 || keyPosition.Line < firstPosition.Line || (keyPosition.Line == firstPosition.Line && keyPosition.Column < firstPosition.Column) {
			firstPosition = keyPosition
		}
	}
	return firstPosition
}

// fullKey returns a key with the names of the enclosing sections, such as
// listen.callers.
func (s *section) fullKey(key string) string {
	if s.name == "" {
		return key
	}
	return s.name + "." + key
}

// valuePosition returns the position of the value at a key, or of the section if
// the key is absent.
func (s *section) valuePosition(key string) Position {
	if v, ok := s.values[key]; ok {
		return nodePosition(s.valueFiles[key], v)
	}
	return s.position
}

// has reports whether a key is present, and marks it as known.
func (s *section) has(key string) bool {
	s.knownKeys[key] = true
	_, ok := s.values[key]
	return ok
}

// require reports whether a key is present, and adds a problem if it is absent.
func (s *section) require(key, expected string) bool {
	if s.has(key) {
		return true
	}
	s.problems.add(s.position, MissingKey, "key "+s.fullKey(key), expected)
	return false
}

// reportValue adds a problem with the value at a key.
func (s *section) reportValue(key string, kind ProblemKind, expected string) {
	s.problems.add(s.valuePosition(key), kind, fmt.Sprintf("%s is %s", s.fullKey(key), describe(s.values[key])), expected)
}

// reportUnknownKeys adds a problem for each key that was not read.
func (s *section) reportUnknownKeys() {
	knownKeys := strings.Join(slices.Sorted(maps.Keys(s.knownKeys)), ", ")
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		if !s.knownKeys[k] {
			s.problems.add(s.keyPositions[k], UnknownKey, "key "+s.fullKey(k), "one of "+knownKeys)
		}
	}
}

// describe returns a short description of a value for a message.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case nil:
		return "absent"
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return fmt.Sprintf("%q", truncate(n.Value))
	case *ast.NullNode:
		return "empty"
	}
	return truncate(node.String())
}

// truncate shortens long values, which may be secret, for messages.
func truncate(text string) string {
	const maxRunes = 24
	runes := []rune(text)
	if len(runes) <= maxRunes {
		return text
	}
	return string(runes[:maxRunes]) + "..."
}
