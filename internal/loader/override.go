package loader

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// overrides holds YAML values from the command line by the full key whose value in
// the file they replace.
type overrides struct{ values map[string]string }

// apply replaces the values of keys that belong directly to a section, not to one
// of its subsections.
func (o *overrides) apply(s *section) {
	for key, value := range o.values {
		localKey, found := strings.CutPrefix(key, s.fullKey(""))
		if !found || localKey == "" || strings.Contains(localKey, ".") {
			continue
		}
		flagName := "flag --set " + key
		bodies := parse(flagName, []byte(value), s.problems)
		if len(bodies) != 1 {
			s.problems.add(Position{File: flagName}, BadValue, "the flag", "one YAML value")
			continue
		}
		s.setValue(localKey, Position{File: flagName}, flagName, bodies[0])
	}
}

// setValue sets or replaces the value of a key.
func (s *section) setValue(key string, keyPosition Position, file string, value ast.Node) {
	s.keyPositions[key], s.values[key], s.valueFiles[key] = keyPosition, value, file
}
