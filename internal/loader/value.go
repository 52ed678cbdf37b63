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

// Descriptions of expected values, for messages.
const (
	expectedAddress  = "an IP address and port, such as 127.0.0.1:8080"
	expectedDuration = "a duration, such as 480ms, 5s or 10m"
	expectedName     = "a name of lower-case letters, digits and dashes, at most 63 long"
	expectedText     = "text"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// text returns the string at a key. Like the other methods for values, it returns
// fallback if the key is absent. If the value is invalid, it adds a problem and
// returns fallback.
func (s *section) text(key, fallback string) string {
	if !s.has(key) {
		return fallback
	}
	if n, ok := s.values[key].(*ast.StringNode); ok {
		return n.Value
	}
	s.reportValue(key, WrongType, expectedText)
	return fallback
}

// textOrNumber returns the string at a key. It also accepts a number as written,
// because YAML parses versions such as 7 or 1.5 as numbers.
func (s *section) textOrNumber(key, fallback string) string {
	if !s.has(key) {
		return fallback
	}
	switch n := s.values[key].(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value
	}
	s.reportValue(key, WrongType, expectedText)
	return fallback
}

// requiredName returns the name at a required key, "" if it is absent.
func (s *section) requiredName(key string) string {
	if !s.require(key, expectedName) {
		return ""
	}
	return s.optionalName(key)
}

// optionalName returns the name at a key, "" if the key is absent. It reports a
// string that is not a valid name, but still returns it.
func (s *section) optionalName(key string) string {
	name := s.text(key, "")
	if s.isText(key) && !namePattern.MatchString(name) {
		s.reportValue(key, BadValue, expectedName)
	}
	return name
}

func (s *section) isText(key string) bool {
	_, ok := s.values[key].(*ast.StringNode)
	return ok
}

// choice returns the string at a key, which must be one of the allowed words.
func (s *section) choice(key, fallback string, allowed ...string) string {
	word := s.text(key, fallback)
	if s.isText(key) && !slices.Contains(allowed, word) {
		s.reportValue(key, BadValue, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return word
}

// boolean returns the boolean at a key, false if the key is absent.
func (s *section) boolean(key string) bool {
	if !s.has(key) {
		return false
	}
	if n, ok := s.values[key].(*ast.BoolNode); ok {
		return n.Value
	}
	s.reportValue(key, WrongType, "true or false")
	return false
}

// positiveInteger returns the integer at a key, which must be at least 1.
func (s *section) positiveInteger(key string, fallback int) int {
	return int(s.integer(key, int64(fallback), 1, expectedCount))
}

// integer returns the integer at a key, which must be between minimum and
// math.MaxInt32.
func (s *section) integer(key string, fallback, minimum int64, expected string) int64 {
	if !s.has(key) {
		return fallback
	}
	n, ok := s.values[key].(*ast.IntegerNode)
	if !ok {
		s.reportValue(key, WrongType, expected)
		return fallback
	}
	value, ok := int64Value(n)
	if !ok || value < minimum || value > math.MaxInt32 {
		s.reportValue(key, BadValue, expected)
		return fallback
	}
	return value
}

func int64Value(node *ast.IntegerNode) (int64, bool) {
	switch v := node.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(min(v, math.MaxInt64)), v <= math.MaxInt64
	}
	return 0, false
}

// number returns the number at a key, which must be between minimum and maximum.
func (s *section) number(key string, fallback, minimum, maximum float64, expected string) float64 {
	if !s.has(key) {
		return fallback
	}
	var value float64
	switch n := s.values[key].(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		integerValue, ok := int64Value(n)
		if !ok {
			s.reportValue(key, BadValue, expected)
			return fallback
		}
		value = float64(integerValue)
	default:
		s.reportValue(key, WrongType, expected)
		return fallback
	}
	if math.IsNaN(value) || value < minimum || value > maximum {
		s.reportValue(key, BadValue, expected)
		return fallback
	}
	return value
}

// duration returns the duration at a key, which must be at least minimum.
func (s *section) duration(key string, fallback, minimum time.Duration) time.Duration {
	if !s.has(key) {
		return fallback
	}
	n, ok := s.values[key].(*ast.StringNode)
	if !ok {
		s.reportValue(key, WrongType, expectedDuration)
		return fallback
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil || value < minimum {
		s.reportValue(key, BadValue, expectedDuration+", not below "+minimum.String())
		return fallback
	}
	return value
}

// address returns the IP address and port at a key, "" if the key is absent.
func (s *section) address(key string) string {
	address := s.text(key, "")
	if !s.isText(key) {
		return ""
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		s.reportValue(key, BadValue, expectedAddress)
		return ""
	}
	return address
}

// requiredAddress returns the IP address and port at a required key, "" if it is
// absent.
func (s *section) requiredAddress(key string) string {
	if !s.require(key, expectedAddress) {
		return ""
	}
	return s.address(key)
}

// textItem is one string in a list, with its position.
type textItem struct {
	text     string
	position Position
}

// textList returns the strings of the list at a key. Items of another type are
// reported and left out.
func (s *section) textList(key, expected string) []textItem {
	var textItems []textItem
	for _, n := range s.listItems(key, "a list of "+expected) {
		itemPosition := nodePosition(s.valueFiles[key], n)
		text, ok := n.(*ast.StringNode)
		if !ok {
			s.problems.add(itemPosition, WrongType, s.fullKey(key)+" holds "+describe(n), expected)
			continue
		}
		textItems = append(textItems, textItem{text: text.Value, position: itemPosition})
	}
	return textItems
}

// listItems returns the nodes of the list at a key.
func (s *section) listItems(key, expected string) []ast.Node {
	if !s.has(key) {
		return nil
	}
	list, ok := s.values[key].(*ast.SequenceNode)
	if !ok {
		s.reportValue(key, WrongType, expected)
		return nil
	}
	return list.Values
}

// subsection returns the mapping at a key, an empty one if the key is absent.
// Overrides apply to an absent one as well.
func (s *section) subsection(key string) *section {
	if !s.has(key) {
		c := emptySection(s.position, s.fullKey(key), s.problems, s.applyOverrides)
		if s.applyOverrides != nil {
			s.applyOverrides(c)
		}
		return c
	}
	return newSection(s.valueFiles[key], s.fullKey(key), s.values[key], s.problems, s.applyOverrides)
}
