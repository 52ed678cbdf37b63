package loader

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// What messages say of the expected values.
const (
	expectedAddress  = "an IP number and port, such as 127.0.0.1:8080"
	expectedDuration = "a duration, such as 480ms, 5s or 10m"
	expectedName     = "a name of lower-case letters, digits and dashes, at most 63 long"
	expectedText     = "text"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// text returns the text at a key, fallback without the key.
func (s *section) text(key, fallback string) string {
	if !s.has(key) {
		return fallback
	}
	if n, ok := s.values[key].(*ast.StringNode); ok {
		return n.Value
	}
	s.reject(key, WrongType, expectedText)
	return fallback
}

// plainText returns the text at a key even where YAML takes it for a number, as
// it does with version 7 or 1.5.
func (s *section) plainText(key, fallback string) string {
	if !s.has(key) {
		return fallback
	}
	switch n := s.values[key].(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value
	}
	s.reject(key, WrongType, expectedText)
	return fallback
}

// nameAt returns the name at a required key.
func (s *section) nameAt(key string) string {
	if !s.require(key, expectedName) {
		return ""
	}
	return s.optionalName(key)
}

// optionalName returns the name at a key, "" without the key.
func (s *section) optionalName(key string) string {
	name := s.text(key, "")
	if s.isText(key) && !namePattern.MatchString(name) {
		s.reject(key, BadValue, expectedName)
	}
	return name
}

func (s *section) isText(key string) bool {
	_, ok := s.values[key].(*ast.StringNode)
	return ok
}

// choice returns one of the allowed words at a key, fallback without the key.
func (s *section) choice(key, fallback string, allowed ...string) string {
	word := s.text(key, fallback)
	if s.isText(key) && !slices.Contains(allowed, word) {
		s.reject(key, BadValue, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return word
}

// flag returns the truth value at a key, false without the key.
func (s *section) flag(key string) bool {
	if !s.has(key) {
		return false
	}
	if n, ok := s.values[key].(*ast.BoolNode); ok {
		return n.Value
	}
	s.reject(key, WrongType, "true or false")
	return false
}

// count returns the whole number of at least 1 at a key, fallback without the key.
func (s *section) count(key string, fallback int) int {
	return int(s.integer(key, int64(fallback), 1, expectedCount))
}

// integer returns the whole number at a key, fallback without the key.
func (s *section) integer(key string, fallback, least int64, expected string) int64 {
	if !s.has(key) {
		return fallback
	}
	n, ok := s.values[key].(*ast.IntegerNode)
	if !ok {
		s.reject(key, WrongType, expected)
		return fallback
	}
	value, ok := wholeNumber(n)
	if !ok || value < least || value > math.MaxInt32 {
		s.reject(key, BadValue, expected)
		return fallback
	}
	return value
}

func wholeNumber(node *ast.IntegerNode) (int64, bool) {
	switch v := node.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(min(v, math.MaxInt64)), v <= math.MaxInt64
	}
	return 0, false
}

// number returns the number at a key within bounds, fallback without the key.
func (s *section) number(key string, fallback, least, most float64, expected string) float64 {
	if !s.has(key) {
		return fallback
	}
	var value float64
	switch n := s.values[key].(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		whole, ok := wholeNumber(n)
		if !ok {
			s.reject(key, BadValue, expected)
			return fallback
		}
		value = float64(whole)
	default:
		s.reject(key, WrongType, expected)
		return fallback
	}
	if math.IsNaN(value) || value < least || value > most {
		s.reject(key, BadValue, expected)
		return fallback
	}
	return value
}

// duration returns the duration at a key, fallback without the key.
func (s *section) duration(key string, fallback, least time.Duration) time.Duration {
	if !s.has(key) {
		return fallback
	}
	n, ok := s.values[key].(*ast.StringNode)
	if !ok {
		s.reject(key, WrongType, expectedDuration)
		return fallback
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil || value < least {
		s.reject(key, BadValue, expectedDuration+", not below "+least.String())
		return fallback
	}
	return value
}

// address returns the IP number and port at a key, "" without the key.
func (s *section) address(key string) string {
	address := s.text(key, "")
	if !s.isText(key) {
		return ""
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		s.reject(key, BadValue, expectedAddress)
		return ""
	}
	return address
}

// requiredAddress returns the IP number and port at a required key.
func (s *section) requiredAddress(key string) string {
	if !s.require(key, expectedAddress) {
		return ""
	}
	return s.address(key)
}

// entry is one piece of text in a list, with its position.
type entry struct {
	text     string
	position Position
}

// texts returns the texts of the list at a key.
func (s *section) texts(key, expected string) []entry {
	var entries []entry
	for _, n := range s.items(key, "a list of "+expected) {
		at := positionOf(s.files[key], n)
		text, ok := n.(*ast.StringNode)
		if !ok {
			s.problems.add(at, WrongType, s.path(key)+" holds "+describe(n), expected)
			continue
		}
		entries = append(entries, entry{text: text.Value, position: at})
	}
	return entries
}

// items returns the nodes of the list at a key.
func (s *section) items(key, expected string) []ast.Node {
	if !s.has(key) {
		return nil
	}
	list, ok := s.values[key].(*ast.SequenceNode)
	if !ok {
		s.reject(key, WrongType, expected)
		return nil
	}
	return list.Values
}

// child returns the mapping at a key, an empty one without the key.
func (s *section) child(key string) *section {
	if !s.has(key) {
		c := emptySection(s.position, s.path(key), s.problems, s.override)
		if s.override != nil {
			s.override(c)
		}
		return c
	}
	return newSection(s.files[key], s.path(key), s.values[key], s.problems, s.override)
}
