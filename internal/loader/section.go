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

// section is one YAML mapping. Reading a key marks it as known; finish reports
// the keys that nobody has read.
type section struct {
	position Position
	name     string
	keys     map[string]Position
	values   map[string]ast.Node
	files    map[string]string
	known    map[string]bool
	override func(*section)
	problems *problems
}

// sizeLimit is the size in bytes of the largest file that is parsed. The time
// of the parser grows with the square of the depth of nesting.
const sizeLimit = 64 << 10

// parse returns the bodies of the YAML documents in a file.
func parse(file string, content []byte, p *problems) []ast.Node {
	if len(content) > sizeLimit {
		p.add(Position{File: file}, Unreadable, fmt.Sprintf("the file has %d bytes", len(content)), fmt.Sprintf("at most %d bytes", sizeLimit))
		return nil
	}
	tree, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.add(positionOfError(file, err), BadSyntax, messageOf(err), "well-formed YAML")
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

func positionOfError(file string, err error) Position {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil && located.GetToken().Position != nil {
		at := located.GetToken().Position
		return Position{File: file, Line: at.Line, Column: at.Column}
	}
	return Position{File: file}
}

func messageOf(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return located.GetMessage()
	}
	return err.Error()
}

func positionOf(file string, node ast.Node) Position {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return Position{File: file, Line: t.Position.Line, Column: t.Position.Column}
	}
	return Position{File: file}
}

// newSection returns the mapping at a node. A node of another type is reported
// and read as an empty mapping. The override may replace values; nil is none.
func newSection(file, name string, node ast.Node, p *problems, override func(*section)) *section {
	s := emptySection(positionOf(file, node), name, p, override)
	mapping, ok := node.(ast.MapNode)
	if !ok {
		p.add(s.position, WrongType, name, "a mapping of keys to values")
		return s
	}
	for entries := mapping.MapRange(); entries.Next(); {
		s.addEntry(file, entries.KeyValue())
	}
	if first := s.firstKey(); first.Line > 0 {
		s.position = first
	}
	if override != nil {
		override(s)
	}
	return s
}

func emptySection(at Position, name string, p *problems, override func(*section)) *section {
	return &section{
		position: at, name: name, problems: p, override: override,
		keys: make(map[string]Position), values: make(map[string]ast.Node),
		files: make(map[string]string), known: make(map[string]bool),
	}
}

func (s *section) addEntry(file string, entry *ast.MappingValueNode) {
	at := positionOf(file, entry.Key)
	key := entry.Key.GetToken().Value
	if entry.Key.IsMergeKey() {
		s.problems.add(at, BadValue, "merge key", "plain keys only")
		return
	}
	if _, exists := s.values[key]; exists {
		s.problems.add(at, Duplicate, "key "+s.path(key), "each key once")
		return
	}
	s.set(key, at, file, entry.Value)
}

func (s *section) firstKey() Position {
	first := Position{}
	for _, at := range s.keys {
		if first.Line == 0 || at.Line < first.Line || (at.Line == first.Line && at.Column < first.Column) {
			first = at
		}
	}
	return first
}

// path returns the full name of a key.
func (s *section) path(key string) string {
	if s.name == "" {
		return key
	}
	return s.name + "." + key
}

// at returns the position of the value of a key, or of the section without it.
func (s *section) at(key string) Position {
	if v, ok := s.values[key]; ok {
		return positionOf(s.files[key], v)
	}
	return s.position
}

// has reports whether a key is present, and marks it as known.
func (s *section) has(key string) bool {
	s.known[key] = true
	_, ok := s.values[key]
	return ok
}

// require reports an absent key.
func (s *section) require(key, expected string) bool {
	if s.has(key) {
		return true
	}
	s.problems.add(s.position, MissingKey, "key "+s.path(key), expected)
	return false
}

// reject reports the value of a key.
func (s *section) reject(key string, kind ProblemKind, expected string) {
	s.problems.add(s.at(key), kind, fmt.Sprintf("%s is %s", s.path(key), describe(s.values[key])), expected)
}

// finish reports the unknown keys.
func (s *section) finish() {
	known := strings.Join(slices.Sorted(maps.Keys(s.known)), ", ")
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		if !s.known[k] {
			s.problems.add(s.keys[k], UnknownKey, "key "+s.path(k), "one of "+known)
		}
	}
}

// describe returns a short form of a value for a message.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case nil:
		return "absent"
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return fmt.Sprintf("%q", shorten(n.Value))
	case *ast.NullNode:
		return "empty"
	}
	return shorten(node.String())
}

// shorten keeps long and possibly secret values out of messages.
func shorten(text string) string {
	const limit = 24
	letters := []rune(text)
	if len(letters) <= limit {
		return text
	}
	return string(letters[:limit]) + "..."
}
